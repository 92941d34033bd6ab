/*
 * An appended proposal without an outcome.
 */
import { ProposeOutcome } from "./ProposeOutcome";

/** A proposal that was appended to the log and is not applied yet. */
export interface PendingProposal {
    /** The term in which the entry was appended. */
    term: bigint;
    /** When the outcome is reported as unknown, in monotonic milliseconds. */
    deadlineMilliseconds: number;
    /** Reports the outcome to the proposer. */
    finish: (outcome: ProposeOutcome) => void;
}
