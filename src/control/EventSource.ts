/*
 * A source of the event history that operators read.
 */
import { SystemEvent } from "./SystemEvent";

/** A part of the replicated state that keeps a bounded list of its events. */
export interface EventSource {
    /** Gets the retained events, oldest first. */
    getEvents(): readonly SystemEvent[];
}
