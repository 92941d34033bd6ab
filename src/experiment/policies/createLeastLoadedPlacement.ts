/*
 * Ranks engines by their pending prefill tokens, without regard to caches.
 */
import { Placement } from "../../routing";
import { FleetGroundTruth } from "./FleetGroundTruth";
import { rotate } from "./rotate";

/**
 * Creates a placement by the current load alone; all entries share it.
 * @param groundTruth - The actual load of all engines.
 */
export function createLeastLoadedPlacement(groundTruth: FleetGroundTruth): Placement {
    let requestCount = 0;
    return {
        rank: (request, candidates) => {
            requestCount += 1;
            const rotated = rotate(candidates, requestCount);
            const pending = new Map(
                rotated.map(item => [item.instanceId, groundTruth.getPendingTokens(item.instanceId)]),
            );
            const ranked = rotated.sort((first, second) => {
                return pending.get(first.instanceId)! - pending.get(second.instanceId)!;
            });
            const chosen = ranked.find(candidate => !request.excluded.has(candidate.instanceId));
            if (chosen !== undefined) {
                groundTruth.addAssignment(chosen.instanceId, request);
            }
            return ranked;
        },
        addObservation: () => {},
    };
}
