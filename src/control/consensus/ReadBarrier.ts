/*
 * The barrier in front of linearizable reads.
 */
import { ReadIndexRequest, ReadIndexResponse } from "../../protocol";
import { ReadBarrierOutcome } from "./ReadBarrierOutcome";

/** Makes reads of the local state machine linearizable by Raft's read index. */
export interface ReadBarrier {
    /** Waits until the local state machine has applied every entry that was committed when the call was made. */
    wait(): Promise<ReadBarrierOutcome>;
    /** Handles a follower's request for the read index of a linearizable read. */
    handleReadIndex(request: ReadIndexRequest): Promise<ReadIndexResponse | undefined>;
}
