/*
 * Makes a scheduler pausable, so that an engine changes its weights while no request is in flight. Requests that arrive
 * during a pause are refused as not run, and entry processes route them to other backend servers.
 */
import { RefusalReason } from "../../protocol";
import { Clock } from "../../runtime";
import { RequestScheduler } from "../RequestScheduler";
import { ScheduledRequest } from "../ScheduledRequest";
import { ScheduleOutcome } from "../ScheduleOutcome";
import { PausableScheduler } from "./PausableScheduler";

const pollIntervalMilliseconds = 20;
const retryAfterMilliseconds = 1_000;

/**
 * Creates a pausable scheduler around another scheduler.
 * @param scheduler - The scheduler that queues the requests.
 * @param clock - The clock that pauses are measured by.
 */
export function createPausableScheduler(scheduler: RequestScheduler, clock: Clock): PausableScheduler {
    let pauseCount = 0;
    return {
        schedule,
        getQueueLength: scheduler.getQueueLength,
        getRunningCount: scheduler.getRunningCount,
        drain: scheduler.drain,
        pause,
    };

    async function schedule(request: ScheduledRequest, signal: AbortSignal): Promise<ScheduleOutcome> {
        if (pauseCount > 0) {
            return { kind: "refused", reason: RefusalReason.OVERLOADED, retryAfterMilliseconds, hint: undefined };
        }
        return scheduler.schedule(request, signal);
    }

    async function pause(timeoutMilliseconds: number, signal: AbortSignal): Promise<(() => void) | undefined> {
        const deadlineMilliseconds = clock.getMonotonicMilliseconds() + timeoutMilliseconds;
        pauseCount += 1;
        while (scheduler.getQueueLength() + scheduler.getRunningCount() > 0) {
            if (signal.aborted || clock.getMonotonicMilliseconds() >= deadlineMilliseconds) {
                pauseCount -= 1;
                return undefined;
            }
            await clock.sleep(pollIntervalMilliseconds, signal);
        }
        return createResume();
    }

    /** Creates the function that ends a pause; only its first call has an effect. */
    function createResume(): () => void {
        let isResumed = false;
        return () => {
            pauseCount -= Number(!isResumed);
            isResumed = true;
        };
    }
}
