/*
 * Writes log lines without blocking. Lines over the rate limit, and lines that the reader is too slow for, are dropped
 * and counted, and the count is logged with the next line that is accepted.
 */
import { write } from "node:fs";
import { Clock } from "../runtime";
import { BoundedWriter } from "./BoundedWriter";

/** The lines per second that are written on average: a few for each request of a busy entry process. */
const refillLinesPerSecond = 400;
/** The lines that may be written in a burst. */
const burstLines = 1_000;
/** The characters that may be buffered for the reader; further lines are dropped. */
const maximumBufferedCharacters = 1_048_576;
/** The last lines of a process that are written whatever the limits: several failures, and the end of a drain. */
const reservedLines = 32;

/**
 * Creates a writer with an empty buffer.
 * @param fileDescriptor - The file descriptor to write to.
 * @param clock - The clock that measures the rate.
 */
export function createBoundedWriter(fileDescriptor: number, clock: Clock): BoundedWriter {
    let buffered = "";
    let isWriting = false;
    let hasFailed = false;
    let availableLines = burstLines;
    let refilledMilliseconds = clock.getMonotonicMilliseconds();
    let droppedCount = 0;
    let remainingReservedLines = 0;
    let flushed: (() => void)[] = [];
    return {
        write: writeLine,
        reserveLastLines: () => remainingReservedLines = reservedLines,
        flush: () => new Promise(resolve => isWriting && !hasFailed ? flushed.push(resolve) : resolve()),
    };

    function writeLine(line: string): void {
        refill();
        if (availableLines >= 1 && buffered.length <= maximumBufferedCharacters && !hasFailed) {
            availableLines -= 1;
        }
        else if (remainingReservedLines > 0 && !hasFailed) {
            remainingReservedLines -= 1;
        }
        else {
            droppedCount += 1;
            return;
        }
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

    /** Writes the buffer asynchronously, with one write at a time. */
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
                // The loss of the log's reader must not stop the process, and can't be logged either.
                hasFailed = true;
                endFlushes();
                return;
            }
            const end = offset + (error ? 0 : written);
            if (end < bytes.length) {
                writeRemaining(bytes, end);
                return;
            }
            isWriting = false;
            flush();
            if (!isWriting) {
                endFlushes();
            }
        });
    }

    function endFlushes(): void {
        const ended = flushed;
        flushed = [];
        ended.forEach(end => end());
    }
}
