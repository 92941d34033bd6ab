/*
 * Ranks engines by the cost of a request, from the actual state of all caches and queues. The choice is greedy: each
 * request is placed on its own, without regard to later ones.
 */
import { Placement } from "../../routing";
import { FleetGroundTruth } from "./FleetGroundTruth";
import { rotate } from "./rotate";

/**
 * Creates the oracle's placement; all entries share it.
 * @param groundTruth - The actual state of all engines.
 * @param blockTokens - The number of tokens in a block.
 */
export function createOraclePlacement(groundTruth: FleetGroundTruth, blockTokens: number): Placement {
    let requestCount = 0;
    return {
        rank: (request, candidates) => {
            requestCount += 1;
            const rotated = rotate(candidates, requestCount);
            const costs = new Map(rotated.map(item => [item.instanceId, getCost(item.instanceId)]));
            const ranked = rotated.sort((first, second) => {
                return costs.get(first.instanceId)! - costs.get(second.instanceId)!;
            });
            const chosen = ranked.find(candidate => !request.excluded.has(candidate.instanceId));
            if (chosen !== undefined) {
                groundTruth.addAssignment(chosen.instanceId, request);
            }
            return ranked;

            /** Gets the number of prompt tokens that the engine computes before the request's first token. */
            function getCost(engine: string): number {
                const cachedTokens = groundTruth.countCachedBlocks(engine, request.hashes) * blockTokens;
                const uncachedTokens = Math.max(0, request.promptTokens - cachedTokens);
                return groundTruth.getPendingTokens(engine, !groundTruth.isLong(uncachedTokens)) + uncachedTokens;
            }
        },
        addObservation: () => {},
    };
}
