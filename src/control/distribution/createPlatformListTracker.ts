/*
 * How long the platform's list has left out each instance. An instance that no list has contained is counted as missing
 * since the first list.
 */
import { PlatformInstance } from "../../membership";
import { Clock } from "../../runtime";
import { PlatformListTracker } from "./PlatformListTracker";

/**
 * Creates a tracker that has read no list yet.
 * @param clock - The clock that times are taken from.
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
