/*
 * A bounded list of events that belongs to a part of the replicated state.
 */
import { ApplyContext } from "./consensus";
import { EventKind } from "./EventKind";
import { EventSource } from "./EventSource";
import { SystemEvent } from "./SystemEvent";

/** The most recent events of one part; older ones are dropped. */
export interface EventHistory extends EventSource {
    /**
     * Adds an event.
     * @param context - The log position and the time of the command that caused the event.
     * @param kind - The kind of event.
     * @param subject - The model, sidecar or workspace that the event concerns.
     * @param text - One sentence for operators; never a prompt or a key.
     */
    addEvent(context: ApplyContext, kind: EventKind, subject: string, text: string): void;
    /** Replaces all events with those of a snapshot, oldest first. */
    replaceEvents(events: readonly SystemEvent[]): void;
}
