/*
 * The part of the replicated state that holds claims for non-idempotent requests.
 */
import { EventSource } from "../EventSource";
import { StateMachinePart } from "../StateMachinePart";

/** Applies claim commands, answers claim queries, and keeps an event for each outcome that became unknown. */
export interface ClaimsPart extends StateMachinePart, EventSource {
    /** Gets the number of keys, the number of open claims, and the bytes of stored responses. */
    getSize(): { keys: number; openClaims: number; answerBytes: number; };
}
