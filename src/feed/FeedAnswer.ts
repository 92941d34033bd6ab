/*
 * What became of one poll.
 */
import { PollResponse } from "../protocol";

/** The outcome of a poll. */
export type FeedAnswer =
    | { kind: "answered"; response: PollResponse; }
    | { kind: "failed"; reason: string; };
