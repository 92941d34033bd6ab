/*
 * Linearizable reads.
 */
import { ReadIndexRequest, ReadIndexResponse } from "../../protocol";
import { ReadBarrierOutcome } from "./ReadBarrierOutcome";

/** Makes reads linearizable. */
export interface ReadBarrier {
    /** Waits until the state machine here holds all that was committed anywhere when the call was made. */
    wait(): Promise<ReadBarrierOutcome>;
    /** Answers a follower that has a linearizable read to serve. */
    handleReadIndex(request: ReadIndexRequest): Promise<ReadIndexResponse | undefined>;
}
