/*
 * One entry of the event history.
 */
import { EventKind } from "./EventKind";

/** Something that happened, as operators read it later. */
export interface SystemEvent {
    /** The place in the replicated log, in decimal. */
    index: string;
    /** The leader's clock at that place, in milliseconds since the epoch. */
    timeMilliseconds: number;
    /** What happened. */
    kind: EventKind;
    /** What it happened to: a model, a sidecar or a workspace. */
    subject: string;
    /** One sentence for operators; never a prompt or a key. */
    text: string;
}
