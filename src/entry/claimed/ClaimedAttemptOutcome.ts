/*
 * How a claimed attempt ended.
 */
import { RefusalReason, RunState, StoredAnswer } from "../../protocol";

/** The end of one claimed attempt, as far as it is known. */
export type ClaimedAttemptOutcome =
    /** The answer is whole, and has been passed on. */
    | { kind: "answered"; response: StoredAnswer; }
    /** It is proved that the attempt has not run and never will. */
    | { kind: "notRun"; reason: RefusalReason; message: string; retryAfterMilliseconds: number; }
    /** The attempt has run, or may have, and no whole answer will come. */
    | { kind: "unanswered"; runState: RunState; message: string; }
    /** The sidecar can't be reached now: nothing is known yet. */
    | { kind: "unreachable"; };
