/*
 * An event of the event history.
 */
import { EventKind } from "./EventKind";

/** An event as operators read it; stored in snapshots. */
export interface SystemEvent {
    /** The index in the replicated log of the command that caused the event, in decimal. */
    index: string;
    /** The leader's wall clock when it appended that command, in milliseconds since the epoch. */
    timeMilliseconds: number;
    /** The kind of event. */
    kind: EventKind;
    /** The model, sidecar or workspace that the event concerns. */
    subject: string;
    /** One sentence for operators; never a prompt or a key. */
    text: string;
}
