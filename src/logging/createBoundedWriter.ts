/*
 * Writes log lines without ever waiting: lines over the rate, and lines that the reader is too slow for, are dropped and
 * counted, and the count is logged once there is room again.
 */
import { write } from "node:fs";
import { Clock } from "../runtime";
import { BoundedWriter } from "./BoundedWriter";

/** The lines a second that are written on average: a few for each request of a busy entry. */
const refillLinesPerSecond = 400;
/** The lines that may come at once. */
const burstLines = 1_000;
/** The bytes that may wait for the reader. */
const maximumBufferedCharacters = 1_048_576;

/**
 * Creates the writer.
 * @param fileDescriptor - What is written to.
 * @param clock - The passing of time.
 */
export function createBoundedWriter(fileDescriptor: number, clock: Clock): BoundedWriter {
    let buffered = "";
    let isWriting = false;
    let hasFailed = false;
    let availableLines = burstLines;
    let refilledMilliseconds = clock.getMonotonicMilliseconds();
    let droppedCount = 0;
    return { write: writeLine };

    function writeLine(line: string): void {
        refill();
        if (hasFailed || availableLines < 1 || buffered.length > maximumBufferedCharacters) {
            droppedCount += 1;
            return;
        }
        availableLines -= 1;
        if (droppedCount > 0) {
            buffered += `${JSON.stringify({ name: "basilwing", level: 40, msg: "dropped log lines", droppedCount })}\n`;
            droppedCount = 0;
        }
        buffered += line;
        flush();
    }

    function refill(): void {
        const now = clock.getMonotonicMilliseconds();
        availableLines = Math.min(
            burstLines,
            availableLines + (now - refilledMilliseconds) * refillLinesPerSecond / 1_000,
        );
        refilledMilliseconds = now;
    }

    /** Writes what waits on a thread of its own, one write at a time. */
    function flush(): void {
        if (isWriting || buffered === "") {
            return;
        }
        isWriting = true;
        const bytes = Buffer.from(buffered);
        buffered = "";
        writeRemaining(bytes, 0);
    }

    function writeRemaining(bytes: Buffer, offset: number): void {
        write(fileDescriptor, bytes, offset, bytes.length - offset, undefined, (error, written) => {
            if (error && error.code !== "EAGAIN") {
                // A reader that is gone must not stop the process; nothing can be logged about it.
                hasFailed = true;
                return;
            }
            const end = offset + (error ? 0 : written);
            if (end < bytes.length) {
                writeRemaining(bytes, end);
                return;
            }
            isWriting = false;
            flush();
        });
    }
}
