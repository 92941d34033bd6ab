/*
 * A request in a scheduler, from its arrival until its slot is released.
 */
import { ScheduledRequest } from "../ScheduledRequest";
import { ScheduleOutcome } from "../ScheduleOutcome";
import { CostEstimate } from "./CostEstimate";
import { FairQueueItem } from "./FairQueueItem";

/** A request that waits or runs. */
export interface QueuedRequest extends FairQueueItem {
    /** The request. */
    request: ScheduledRequest;
    /** The latest estimate of the request's cost. */
    estimate: CostEstimate;
    /** Settles the `schedule` call of the request. */
    resolve(outcome: ScheduleOutcome): void;
    /** When the request started, on the monotonic clock; undefined while it waits. */
    startedMilliseconds: number | undefined;
    /** Whether the engine has produced the first token. */
    hasFirstToken: boolean;
    /** The request whose prefill this one waits for; undefined if it waits in the fair queue or runs. */
    provider: QueuedRequest | undefined;
}
