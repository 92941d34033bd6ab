/*
 * Reads a line of a log.
 */
import { LogLine } from "./LogLine";

/** Fields that say nothing about what happened. */
const standardFields = new Set(["name", "hostname", "pid", "level", "v", "instance", "time", "msg"]);

/**
 * Reads a line; undefined where it is none of the system's.
 * @param text - The line; what stands before its JSON, such as a collector's stamp, is passed over.
 */
export function parseLogLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    let record: Record<string, unknown>;
    try {
        record = JSON.parse(text.slice(start)) as Record<string, unknown>;
    }
    catch {
        // Other programs' lines may stand in the same file.
        return undefined;
    }
    const { instance, time, msg } = record;
    const timeMilliseconds = typeof time === "string" ? Date.parse(time) : NaN;
    if (typeof instance !== "string" || typeof msg !== "string" || Number.isNaN(timeMilliseconds)) {
        return undefined;
    }
    const fields = Object.fromEntries(Object.entries(record).filter(([name]) => !standardFields.has(name)));
    return { instance, timeMilliseconds, message: msg, fields };
}
