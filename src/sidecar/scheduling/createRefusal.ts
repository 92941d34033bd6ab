/*
 * Creates the refusals of a scheduler.
 */
import { RefusalReason } from "../../protocol";
import { ScheduleHint } from "../ScheduleHint";
import { ScheduleOutcome } from "../ScheduleOutcome";

const minimumRetryAfterMilliseconds = 100;

/**
 * Creates a refusal.
 * @param reason - Why the request doesn't run at this backend server.
 * @param waitMilliseconds - After how long a retry here may succeed; absent if waiting doesn't help.
 * @param hint - Where the request would be served better.
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
