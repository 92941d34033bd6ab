/*
 * Encodes the events of a part's history for its snapshot.
 */
import { create } from "@bufbuild/protobuf";
import { KeptEvent, KeptEventSchema } from "../protocol";
import { SystemEvent } from "./SystemEvent";

/** Converts events to the event messages of a snapshot. */
export function encodeEvents(events: readonly SystemEvent[]): KeptEvent[] {
    return events.map(event =>
        create(KeptEventSchema, {
            ...event,
            index: BigInt(event.index),
            timeMilliseconds: BigInt(event.timeMilliseconds),
        })
    );
}
