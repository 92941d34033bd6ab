/*
 * Writes log lines without ever waiting: lines over the rate, and lines that the reader is too slow for, are dropped and
 * counted, and the count is logged once there is room again.
 */
import { write } from "node:fs";
import { Clock } from "../runtime";
import { BoundedWriter } from "./BoundedWriter";

/** The lines a second that are written on average: a few for each request of a busy entry. */
const linesPerSecond = 400;
/** The lines that may come at once. */
const lineBurst = 1_000;
/** The bytes that may wait for the reader. */
const maximumWaitingBytes = 1_048_576;

/**
 * Creates the writer.
 * @param fileDescriptor - What is written to.
 * @param clock - The passing of time.
 */
export function createBoundedWriter(fileDescriptor: number, clock: Clock): BoundedWriter {
    let waiting = "";
    let isWriting = false;
    let isBroken = false;
    let allowance = lineBurst;
    let refilled = clock.getMonotonicMilliseconds();
    let droppedCount = 0;
    return { write: writeLine };

    function writeLine(line: string): void {
        refill();
        if (isBroken || allowance < 1 || waiting.length > maximumWaitingBytes) {
            droppedCount += 1;
            return;
        }
        allowance -= 1;
        if (droppedCount > 0) {
            waiting += `${JSON.stringify({ name: "basilwing", level: 40, msg: "dropped log lines", droppedCount })}\n`;
            droppedCount = 0;
        }
        waiting += line;
        flush();
    }

    function refill(): void {
        const now = clock.getMonotonicMilliseconds();
        allowance = Math.min(lineBurst, allowance + (now - refilled) * linesPerSecond / 1_000);
        refilled = now;
    }

    /** Writes what waits on a thread of its own, one write at a time. */
    function flush(): void {
        if (isWriting || waiting === "") {
            return;
        }
        isWriting = true;
        const bytes = Buffer.from(waiting);
        waiting = "";
        writeFrom(bytes, 0);
    }

    function writeFrom(bytes: Buffer, offset: number): void {
        write(fileDescriptor, bytes, offset, bytes.length - offset, undefined, (error, written) => {
            if (error && error.code !== "EAGAIN") {
                // A reader that is gone must not stop the process; nothing can be logged about it.
                isBroken = true;
                return;
            }
            const end = offset + (error ? 0 : written);
            if (end < bytes.length) {
                writeFrom(bytes, end);
                return;
            }
            isWriting = false;
            flush();
        });
    }
}
