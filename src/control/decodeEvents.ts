/*
 * Decodes the events of a part's history from its snapshot.
 */
import { KeptEvent } from "../protocol";
import { EventKind } from "./EventKind";
import { SystemEvent } from "./SystemEvent";

/** Converts the event messages of a snapshot to events. */
export function decodeEvents(events: readonly KeptEvent[]): SystemEvent[] {
    return events.map(({ index, kind, subject, text, timeMilliseconds }) => ({
        index: index.toString(),
        timeMilliseconds: Number(timeMilliseconds),
        kind: kind as EventKind,
        subject,
        text,
    }));
}
