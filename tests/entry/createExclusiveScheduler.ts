/*
 * A scheduler that runs a few requests at once, but a request with `runAlone` only while no other is running.
 */
import { Clock } from "../../src/runtime";
import { createFifoScheduler, RequestScheduler, ScheduledRequest, ScheduleOutcome } from "../../src/sidecar";

const maximumRunning = 4;
const maximumQueued = 16;
const pollIntervalMilliseconds = 5;

export function createExclusiveScheduler(clock: Clock): RequestScheduler {
    const inner = createFifoScheduler({ clock, maximumRunning, maximumQueued });
    let exclusiveCount = 0;
    return { ...inner, schedule };

    async function schedule(request: ScheduledRequest, signal: AbortSignal): Promise<ScheduleOutcome> {
        while (exclusiveCount > 0 || (request.runAlone && inner.getRunningCount() > 0)) {
            await clock.sleep(pollIntervalMilliseconds, signal);
            if (signal.aborted) {
                break;
            }
        }
        const outcome = await inner.schedule(request, signal);
        if (outcome.kind === "refused" || !request.runAlone) {
            return outcome;
        }
        exclusiveCount++;
        const { slot } = outcome;
        const release: typeof slot.release = usage => {
            exclusiveCount--;
            slot.release(usage);
        };
        return { ...outcome, slot: { ...slot, release } };
    }
}
