/*
 * Since when the platform's list has left out an instance.
 */
import { PlatformInstance } from "../../membership";
import { Clock } from "../../runtime";
import { PlatformListTracker } from "./PlatformListTracker";

/**
 * Creates the memory of the platform's lists.
 * @param clock - The passing of time.
 */
export function createPlatformListTracker(clock: Clock): PlatformListTracker {
    const lastListedAt = new Map<string, number>();
    let firstListAt: number | undefined;
    let lastListAt = 0;
    return { recordList, getAbsenceMilliseconds };

    function recordList(instances: readonly PlatformInstance[]): void {
        lastListAt = clock.getMonotonicMilliseconds();
        firstListAt ??= lastListAt;
        instances.forEach(({ instanceId }) => lastListedAt.set(instanceId, lastListAt));
    }

    function getAbsenceMilliseconds(instanceId: string): number {
        if (firstListAt === undefined) {
            return 0;
        }
        return lastListAt - (lastListedAt.get(instanceId) ?? firstListAt);
    }
}
