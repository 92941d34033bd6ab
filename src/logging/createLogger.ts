/*
 * Logs lines of JSON with the bunyan library. Prompts, responses, keys and tokens are never logged; as a safeguard,
 * every line passes a filter that hides values that look like one.
 */
import bunyan from "bunyan";
import { createWriteStream } from "node:fs";
import { BoundedWriter } from "./BoundedWriter";
import { createRedactingStream } from "./createRedactingStream";
import { Logger } from "./Logger";
import { LoggingSettings } from "./LoggingSettings";

/**
 * Creates the logger of a process.
 * @param instanceId - The instance's id, which is added to each line.
 * @param settings - The log level and destination.
 * @param writer - The destination of the lines instead of the one in the settings.
 */
export function createLogger(
    instanceId: string,
    settings: LoggingSettings,
    writer?: Pick<BoundedWriter, "write">,
): Logger {
    const { level, file } = settings;
    const destination = writer ?? (file === undefined ? process.stderr : createWriteStream(file, { flags: "a" }));
    const stream = createRedactingStream(destination) as NodeJS.WritableStream;
    return bunyan.createLogger({ name: "basilwing", instance: instanceId, streams: [{ level, stream }] });
}
