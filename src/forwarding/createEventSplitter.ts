/*
 * Cuts a stream of server-sent events at the empty lines between them. The bytes are kept as they are, so that joining
 * the events gives the stream again.
 */
import { EventSplitter } from "./EventSplitter";
import { StreamEvent } from "./StreamEvent";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idPattern = /^id:[ ]?(\d+)\r?$/m;

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
    let rest: Buffer = Buffer.alloc(0);
    let scanned = 0;
    return { add, getRest: () => rest };

    function add(bytes: Uint8Array): readonly StreamEvent[] {
        rest = rest.length === 0 ? Buffer.from(bytes) : Buffer.concat([rest, bytes]);
        const events: StreamEvent[] = [];
        for (let end = findEnd(scanned); end !== undefined; end = findEnd(0)) {
            const event = rest.subarray(0, end);
            rest = rest.subarray(end);
            events.push({ id: getId(event), bytes: event });
        }
        // An end may lie across two additions by up to three bytes.
        scanned = Math.max(0, rest.length - 3);
        return events;
    }

    /** Finds the end of the first event: behind a line end that follows another one. */
    function findEnd(from: number): number | undefined {
        for (let place = rest.indexOf(lineFeed, from); place >= 0; place = rest.indexOf(lineFeed, place + 1)) {
            if (rest[place + 1] === lineFeed) {
                return place + 2;
            }
            if (rest[place + 1] === carriageReturn && rest[place + 2] === lineFeed) {
                return place + 3;
            }
        }
        return undefined;
    }
}

function getId(event: Buffer): number | undefined {
    const match = idPattern.exec(event.toString("latin1"));
    return match ? Number(match[1]) : undefined;
}
