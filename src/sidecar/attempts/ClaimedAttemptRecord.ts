/*
 * What stays known of a claim's number after its attempt is forgotten.
 */
import { AttemptState } from "../../protocol";

/** A claim's number that has come. */
export interface ClaimedAttemptRecord {
    /** The id of the request that came with it. */
    requestId: string;
    /** The attempt's number within its request. */
    attempt: number;
    /** How far it got. */
    state: AttemptState;
}
