/*
 * The registry's decision on a dispatched attempt.
 */
import { RunState } from "../../protocol";
import { AttemptRejection } from "../AttemptRejection";
import { Attempt } from "./Attempt";

/** The outcome of beginning an attempt. */
export type BeginOutcome =
    | { kind: "begun"; attempt: Attempt; }
    /** The attempt has been seen before or must not run here; this delivery runs nothing. */
    | { kind: "refused"; rejection: AttemptRejection; runState: RunState; };
