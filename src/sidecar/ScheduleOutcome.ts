/*
 * The scheduler's decision on a request.
 */
import { RefusalReason } from "../protocol";
import { RunningSlot } from "./RunningSlot";
import { ScheduleHint } from "./ScheduleHint";

/** The outcome of scheduling. */
export type ScheduleOutcome =
    /** The request starts now; it waited for the given time in the queue. */
    | { kind: "started"; slot: RunningSlot; queueMilliseconds: number; }
    /** The request is refused; nothing has run. */
    | { kind: "refused"; reason: RefusalReason; retryAfterMilliseconds: number; hint: ScheduleHint | undefined; };
