/*
 * Lets a scheduler be held, so that an engine changes its weights with no request in flight. Work that comes meanwhile
 * is refused as not run, and entries take it elsewhere.
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
 * Creates a scheduler around another.
 * @param scheduler - The scheduler that decides what runs next.
 * @param clock - The passing of time.
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
        const deadline = clock.getMonotonicMilliseconds() + timeoutMilliseconds;
        pauseCount += 1;
        while (scheduler.getQueueLength() + scheduler.getRunningCount() > 0) {
            if (signal.aborted || clock.getMonotonicMilliseconds() >= deadline) {
                pauseCount -= 1;
                return undefined;
            }
            await clock.sleep(pollIntervalMilliseconds, signal);
        }
        return createResume();
    }

    /** Creates the end of a hold, which counts once. */
    function createResume(): () => void {
        let isResumed = false;
        return () => {
            pauseCount -= Number(!isResumed);
            isResumed = true;
        };
    }
}
