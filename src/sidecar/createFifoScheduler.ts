/*
 * A scheduler that runs requests in order of arrival; the baseline for measuring other schedulers.
 */
import { RefusalReason } from "../protocol";
import { Clock } from "../runtime";
import { FifoSchedulerOptions } from "./FifoSchedulerOptions";
import { RequestScheduler } from "./RequestScheduler";
import { ScheduledRequest } from "./ScheduledRequest";
import { ScheduleOutcome } from "./ScheduleOutcome";

const retryAfterMilliseconds = 1_000;

/** Creates a scheduler without priorities or fair sharing. */
export function createFifoScheduler(options: FifoSchedulerOptions): RequestScheduler {
    const { clock, maximumQueued, maximumRunning } = options;
    const waiters: (() => void)[] = [];
    let runningCount = 0;
    let isDraining = false;
    return {
        schedule,
        getQueueLength: () => waiters.length,
        getRunningCount: () => runningCount,
        drain,
    };

    async function schedule(request: ScheduledRequest, signal: AbortSignal): Promise<ScheduleOutcome> {
        if (isDraining) {
            return refuse(RefusalReason.DRAINING);
        }
        if (runningCount >= maximumRunning && waiters.length >= maximumQueued) {
            return refuse(RefusalReason.OVERLOADED);
        }
        const queuedAtMilliseconds = clock.getMonotonicMilliseconds();
        if (runningCount >= maximumRunning) {
            await waitForSlot(signal);
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
        return startRequest(queuedAtMilliseconds, clock);
    }

    /** Occupies a slot at the backend server. */
    function startRequest(queuedAtMilliseconds: number, clock: Clock): ScheduleOutcome {
        runningCount += 1;
        let isReleased = false;
        const queueMilliseconds = clock.getMonotonicMilliseconds() - queuedAtMilliseconds;
        return { kind: "started", slot: { recordFirstToken: () => {}, release }, queueMilliseconds };

        function release(): void {
            if (!isReleased) {
                isReleased = true;
                runningCount -= 1;
                waiters.shift()?.();
            }
        }
    }

    /** Waits until a slot is free, the request is cancelled or the scheduler drains. */
    function waitForSlot(signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            waiters.push(finish);
            signal.addEventListener("abort", finish, { once: true });

            function finish(): void {
                signal.removeEventListener("abort", finish);
                const position = waiters.indexOf(finish);
                if (position >= 0) {
                    waiters.splice(position, 1);
                }
                resolve();
            }
        });
    }

    function drain(): void {
        isDraining = true;
        waiters.splice(0).forEach(resolve => resolve());
    }
}

/** Creates the outcome of a refused request. */
function refuse(reason: RefusalReason): ScheduleOutcome {
    return { kind: "refused", reason, retryAfterMilliseconds, hint: undefined };
}
