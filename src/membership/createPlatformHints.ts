/*
 * Derives hints from the platform's list of instances. The list lags and doesn't contain incarnations, so an
 * incarnation counts as leaving only if the previous list had its instance as live; otherwise the instance is merely
 * avoided while the list has it as leaving.
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
