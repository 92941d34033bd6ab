/*
 * What became of one poll.
 */
import { PollResponse } from "../protocol";

/** The outcome of a poll. */
export type PollResult =
    | { kind: "answered"; response: PollResponse; }
    | { kind: "failed"; reason: string; };
