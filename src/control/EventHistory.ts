/*
 * A bounded list of events inside a part of the replicated state.
 */
import { ApplyContext } from "./consensus";
import { EventKind } from "./EventKind";
import { EventSource } from "./EventSource";
import { SystemEvent } from "./SystemEvent";

/** The events of one part; the oldest are dropped. */
export interface EventHistory extends EventSource {
    /** Adds an event at a place in the log. */
    addEvent(context: ApplyContext, kind: EventKind, subject: string, text: string): void;
    /** Replaces all events by those of a snapshot. */
    replaceEvents(events: readonly SystemEvent[]): void;
}
