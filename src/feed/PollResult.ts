/*
 * The result of one poll, as the polling entry process sees it.
 */
import { PollResponse } from "../protocol";

/** The result of a poll: the member's response, or the reason why there is none. */
export type PollResult =
    | { kind: "answered"; response: PollResponse; }
    | { kind: "failed"; reason: string; };
