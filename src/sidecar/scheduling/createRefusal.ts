/*
 * Refusals of a scheduler.
 */
import { RefusalReason } from "../../protocol";
import { ScheduleHint } from "../ScheduleHint";
import { ScheduleOutcome } from "../ScheduleOutcome";

const minimumRetryAfterMilliseconds = 100;

/**
 * Creates a refusal.
 * @param reason - Why the request will not run here.
 * @param waitMilliseconds - After how long it is worth trying here again; absent where waiting does not help.
 * @param hint - Where the request would fare better.
 */
export function createRefusal(
    reason: RefusalReason,
    waitMilliseconds?: number,
    hint?: ScheduleHint,
): ScheduleOutcome & { kind: "refused"; } {
    const retryAfterMilliseconds = waitMilliseconds === undefined
        ? 0
        : Math.max(minimumRetryAfterMilliseconds, Math.ceil(waitMilliseconds));
    return { kind: "refused", reason, retryAfterMilliseconds, hint };
}
