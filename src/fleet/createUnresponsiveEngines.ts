/*
 * Records for a short time which engines have not responded, so that they do not delay a rollout.
 */
import { Clock } from "../runtime";
import { UnresponsiveEngines } from "./UnresponsiveEngines";

/** How long an unresponsive engine is excluded, in milliseconds: a crashed engine needs about as long to restart. */
const exclusionMilliseconds = 1_000;

/**
 * Creates an empty record.
 * @param clock - Measures the time since an engine was recorded.
 * @param isReported - Returns whether entry processes report an engine as unresponsive.
 */
export function createUnresponsiveEngines(
    clock: Clock,
    isReported: (instanceId: string) => boolean,
): UnresponsiveEngines {
    const recordTimes = new Map<string, number>();
    return { record, has };

    function record(instanceId: string): void {
        recordTimes.set(instanceId, clock.getMonotonicMilliseconds());
    }

    function has(instanceId: string): boolean {
        const time = recordTimes.get(instanceId);
        const isRecorded = time !== undefined && clock.getMonotonicMilliseconds() - time < exclusionMilliseconds;
        return isRecorded || isReported(instanceId);
    }
}
