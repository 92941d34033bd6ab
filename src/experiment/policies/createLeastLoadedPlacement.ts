/*
 * Sends each request to the engine with the least prefill ahead, without regard to caches.
 */
import { Placement } from "../../routing";
import { FleetTruth } from "./FleetTruth";
import { rotate } from "./rotate";

/** Creates a placement by load alone, which it knows without lag. */
export function createLeastLoadedPlacement(truth: FleetTruth): Placement {
    let turn = 0;
    return {
        rank: (request, candidates) => {
            turn += 1;
            const rotated = rotate(candidates, turn);
            const pending = new Map(rotated.map(item => [item.instanceId, truth.getPendingTokens(item.instanceId)]));
            const ranked = rotated.sort((first, second) => {
                return pending.get(first.instanceId)! - pending.get(second.instanceId)!;
            });
            const chosen = ranked.find(candidate => !request.excluded.has(candidate.instanceId));
            if (chosen !== undefined) {
                truth.addAssignment(chosen.instanceId, request);
            }
            return ranked;
        },
        addObservation: () => {},
    };
}
