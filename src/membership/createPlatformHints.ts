/*
 * What the platform's list is good for. The list lags and knows no incarnations, so a removal counts for an incarnation
 * only where the list was seen to name it live before; otherwise the instance is merely avoided while it is listed so.
 */
import { PlatformHints } from "./PlatformHints";
import { PlatformInstance } from "./PlatformInstance";

/** Creates hints from an empty list. */
export function createPlatformHints(): PlatformHints {
    let leavingIds = new Set<string>();
    let liveIncarnations = new Map<string, string>();
    return { apply, isLeaving: instanceId => leavingIds.has(instanceId) };

    function apply(
        instances: readonly PlatformInstance[],
        getIncarnation: (instanceId: string) => string | undefined,
    ): readonly { instanceId: string; incarnation: string; }[] {
        const nextLeavingIds = new Set<string>();
        const nextLiveIncarnations = new Map<string, string>();
        const newlyLeaving: { instanceId: string; incarnation: string; }[] = [];
        for (const { instanceId, isLeaving } of instances) {
            const incarnation = getIncarnation(instanceId);
            if (isLeaving) {
                nextLeavingIds.add(instanceId);
            }
            else if (incarnation !== undefined) {
                nextLiveIncarnations.set(instanceId, incarnation);
            }
            if (isLeaving && incarnation !== undefined && liveIncarnations.get(instanceId) === incarnation) {
                newlyLeaving.push({ instanceId, incarnation });
            }
        }
        leavingIds = nextLeavingIds;
        liveIncarnations = nextLiveIncarnations;
        return newlyLeaving;
    }
}
