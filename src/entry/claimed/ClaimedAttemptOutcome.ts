/*
 * The outcome of a claimed attempt.
 */
import { RefusalReason, RunState, StoredAnswer } from "../../protocol";

/** How one claimed attempt ended, as far as this entry process can determine it. */
export type ClaimedAttemptOutcome =
    /** The response is complete and has been forwarded. */
    | { kind: "answered"; response: StoredAnswer; }
    /** The attempt is proved not to have run, and will never run. */
    | { kind: "notRun"; reason: RefusalReason; message: string; retryAfterMilliseconds: number; }
    /** The attempt has run or may have run, and its complete response can't be obtained. */
    | { kind: "unanswered"; runState: RunState; message: string; }
    /** The sidecar can't be reached at present, so the attempt's state is unknown. */
    | { kind: "unreachable"; };
