/*
 * Logs as lines of JSON, by the bunyan library. Prompts, answers, keys and tokens are never logged; every line passes a
 * filter that hides what looks like one.
 */
import bunyan from "bunyan";
import { createWriteStream } from "node:fs";
import { BoundedWriter } from "./BoundedWriter";
import { createRedactingStream } from "./createRedactingStream";
import { Logger } from "./Logger";
import { LoggingSettings } from "./LoggingSettings";

/**
 * Creates the logger of a process.
 * @param instanceId - The instance's id, in each line.
 * @param settings - What is logged and where to.
 * @param writer - What receives the lines in place of the settings' destination.
 */
export function createLogger(instanceId: string, settings: LoggingSettings, writer?: BoundedWriter): Logger {
    const { level, file } = settings;
    const destination = writer ?? (file === undefined ? process.stderr : createWriteStream(file, { flags: "a" }));
    const stream = createRedactingStream(destination) as NodeJS.WritableStream;
    return bunyan.createLogger({ name: "basilwing", instance: instanceId, streams: [{ level, stream }] });
}
