/*
 * What the scheduler decided on a request.
 */
import { RefusalReason } from "../protocol";
import { RunningSlot } from "./RunningSlot";
import { ScheduleHint } from "./ScheduleHint";

/** The outcome of scheduling. */
export type ScheduleOutcome =
    /** The request's turn has come. */
    | { kind: "started"; slot: RunningSlot; queueMilliseconds: number; }
    /** The request will not run here; nothing has run. */
    | { kind: "refused"; reason: RefusalReason; retryAfterMilliseconds: number; hint: ScheduleHint | undefined; };
