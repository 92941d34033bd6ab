/*
 * A scheduler that runs requests in the order in which they came; the baseline that others are measured against.
 */
import { RefusalReason } from "../protocol";
import { Clock } from "../runtime";
import { FirstComeSchedulerOptions } from "./FirstComeSchedulerOptions";
import { RequestScheduler } from "./RequestScheduler";
import { ScheduledRequest } from "./ScheduledRequest";
import { ScheduleOutcome } from "./ScheduleOutcome";

const retryAfterMilliseconds = 1_000;

/** Creates a scheduler without priorities or shares. */
export function createFirstComeScheduler(options: FirstComeSchedulerOptions): RequestScheduler {
    const { clock, maximumQueued, maximumRunning } = options;
    const waiting: (() => void)[] = [];
    let runningCount = 0;
    let isDraining = false;
    return {
        schedule,
        getQueueLength: () => waiting.length,
        getRunningCount: () => runningCount,
        drain,
    };

    async function schedule(request: ScheduledRequest, signal: AbortSignal): Promise<ScheduleOutcome> {
        if (isDraining) {
            return refuse(RefusalReason.DRAINING);
        }
        if (runningCount >= maximumRunning && waiting.length >= maximumQueued) {
            return refuse(RefusalReason.OVERLOADED);
        }
        const start = clock.getMonotonicMilliseconds();
        if (runningCount >= maximumRunning) {
            await waitForTurn(signal);
        }
        if (signal.aborted) {
            return refuse(RefusalReason.CANCELLED);
        }
        if (isDraining) {
            return refuse(RefusalReason.DRAINING);
        }
        if (clock.getMonotonicMilliseconds() > request.deadlineMilliseconds) {
            return refuse(RefusalReason.DEADLINE);
        }
        return getStarted(start, clock);
    }

    /** Takes a place at the backend server. */
    function getStarted(start: number, clock: Clock): ScheduleOutcome {
        runningCount += 1;
        let isReleased = false;
        const queueMilliseconds = clock.getMonotonicMilliseconds() - start;
        return { kind: "started", slot: { noteFirstToken: () => {}, release }, queueMilliseconds };

        function release(): void {
            if (!isReleased) {
                isReleased = true;
                runningCount -= 1;
                waiting.shift()?.();
            }
        }
    }

    /** Waits until a place is free or the request is given up. */
    function waitForTurn(signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            waiting.push(finish);
            signal.addEventListener("abort", finish, { once: true });

            function finish(): void {
                signal.removeEventListener("abort", finish);
                const position = waiting.indexOf(finish);
                if (position >= 0) {
                    waiting.splice(position, 1);
                }
                resolve();
            }
        });
    }

    function drain(): void {
        isDraining = true;
        waiting.splice(0).forEach(resolve => resolve());
    }
}

/** Gets the outcome of a request that will not run. */
function refuse(reason: RefusalReason): ScheduleOutcome {
    return { kind: "refused", reason, retryAfterMilliseconds, hint: undefined };
}
