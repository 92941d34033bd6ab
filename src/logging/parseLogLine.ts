/*
 * Parses lines of a log.
 */
import { LogLine } from "./LogLine";

/** Fields of bunyan and of LogLine itself, which are left out of the line's other fields. */
const standardFields = new Set(["name", "hostname", "pid", "level", "v", "instance", "time", "msg"]);

/**
 * Parses a line.
 * @param text - The line; a prefix before its JSON, such as a log collector's timestamp, is ignored.
 * @returns The parsed line, or undefined where it was not written by an instance.
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
        // The file may contain lines of other programs.
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
