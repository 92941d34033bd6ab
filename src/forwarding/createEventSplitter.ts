/*
 * Splits a stream of server-sent events at the empty lines between them. The bytes are not modified: the concatenation
 * of the events and the remaining bytes is the stream.
 */
import { EventSplitter } from "./EventSplitter";
import { StreamEvent } from "./StreamEvent";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const carriageReturnLine = Buffer.from("\r\r");
const idPattern = /^id:[ ]?(\d+)\r?$/m;

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
    let remaining: Buffer = Buffer.alloc(0);
    let scannedBytes = 0;
    return { add, getRemainingBytes: () => remaining, isInsideEvent };

    function add(bytes: Uint8Array): readonly StreamEvent[] {
        remaining = remaining.length === 0 ? Buffer.from(bytes) : Buffer.concat([remaining, bytes]);
        const events: StreamEvent[] = [];
        for (let end = findEnd(scannedBytes); end !== undefined; end = findEnd(0)) {
            const event = remaining.subarray(0, end);
            remaining = remaining.subarray(end);
            events.push({ id: getId(event), bytes: event });
        }
        // The end of an event may span two calls; up to three bytes of it may have arrived.
        scannedBytes = Math.max(0, remaining.length - 3);
        return events;
    }

    function isInsideEvent(): boolean {
        return remaining.some(byte => byte !== lineFeed && byte !== carriageReturn);
    }

    /** Finds the end of the first event: after two consecutive line ends, each `\n`, `\r\n` or `\r`. */
    function findEnd(from: number): number | undefined {
        const emptyLine = remaining.indexOf(carriageReturnLine, from);
        const end = findLineFeedEnd(from);
        return emptyLine >= 0 && (end === undefined || emptyLine + carriageReturnLine.length < end)
            ? emptyLine + carriageReturnLine.length
            : end;
    }

    function findLineFeedEnd(from: number): number | undefined {
        for (
            let position = remaining.indexOf(lineFeed, from);
            position >= 0;
            position = remaining.indexOf(lineFeed, position + 1)
        ) {
            if (remaining[position + 1] === lineFeed) {
                return position + 2;
            }
            if (remaining[position + 1] === carriageReturn && remaining[position + 2] === lineFeed) {
                return position + 3;
            }
        }
        return undefined;
    }
}

function getId(event: Buffer): number | undefined {
    const match = idPattern.exec(event.toString("latin1"));
    return match ? Number(match[1]) : undefined;
}
