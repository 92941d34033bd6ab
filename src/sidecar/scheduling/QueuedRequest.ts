/*
 * A request in a scheduler, from its arrival until its place is released.
 */
import { ScheduledRequest } from "../ScheduledRequest";
import { ScheduleOutcome } from "../ScheduleOutcome";
import { CostEstimate } from "./CostEstimate";
import { FairQueueItem } from "./FairQueueItem";

/** A request that waits or runs. */
export interface QueuedRequest extends FairQueueItem {
    /** The request. */
    request: ScheduledRequest;
    /** The latest estimate of its cost. */
    estimate: CostEstimate;
    /** Answers its `schedule` call. */
    resolve(outcome: ScheduleOutcome): void;
    /** When it started, on the monotonic clock; undefined while it waits. */
    startedMilliseconds: number | undefined;
    /** Whether its first token has come. */
    hasFirstToken: boolean;
    /** The prefill of another request that it waits for; undefined where it waits for its turn only. */
    provider: QueuedRequest | undefined;
}
