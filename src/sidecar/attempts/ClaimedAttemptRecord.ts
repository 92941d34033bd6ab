/*
 * What remains recorded of a claimed attempt after it has been removed from the registry.
 */
import { AttemptState } from "../../protocol";

/** The record of an attempt that was dispatched under a fencing token. */
export interface ClaimedAttemptRecord {
    /** The request's id. */
    requestId: string;
    /** The attempt's number within its request. */
    attempt: number;
    /** The last known state of the attempt. */
    state: AttemptState;
}
