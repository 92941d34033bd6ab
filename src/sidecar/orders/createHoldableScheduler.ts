/*
 * Lets a scheduler be held, so that an engine changes its weights with no request in flight. Work that comes meanwhile
 * is refused as not run, and entries take it elsewhere.
 */
import { RefusalReason } from "../../protocol";
import { Clock } from "../../runtime";
import { RequestScheduler } from "../RequestScheduler";
import { ScheduledRequest } from "../ScheduledRequest";
import { ScheduleOutcome } from "../ScheduleOutcome";
import { HoldableScheduler } from "./HoldableScheduler";

const pollMilliseconds = 20;
const retryAfterMilliseconds = 1_000;

/**
 * Creates a scheduler around another.
 * @param scheduler - The scheduler that decides what runs next.
 * @param clock - The passing of time.
 */
export function createHoldableScheduler(scheduler: RequestScheduler, clock: Clock): HoldableScheduler {
    let holds = 0;
    return {
        schedule,
        getQueueLength: scheduler.getQueueLength,
        getRunningCount: scheduler.getRunningCount,
        drain: scheduler.drain,
        hold,
    };

    async function schedule(request: ScheduledRequest, signal: AbortSignal): Promise<ScheduleOutcome> {
        if (holds > 0) {
            return { kind: "refused", reason: RefusalReason.OVERLOADED, retryAfterMilliseconds, hint: undefined };
        }
        return scheduler.schedule(request, signal);
    }

    async function hold(deadlineMilliseconds: number, signal: AbortSignal): Promise<(() => void) | undefined> {
        const deadline = clock.getMonotonicMilliseconds() + deadlineMilliseconds;
        holds += 1;
        while (scheduler.getQueueLength() + scheduler.getRunningCount() > 0) {
            if (signal.aborted || clock.getMonotonicMilliseconds() >= deadline) {
                holds -= 1;
                return undefined;
            }
            await clock.sleep(pollMilliseconds, signal);
        }
        return createRelease();
    }

    /** Creates the end of a hold, which counts once. */
    function createRelease(): () => void {
        let isReleased = false;
        return () => {
            holds -= Number(!isReleased);
            isReleased = true;
        };
    }
}
