/*
 * Sends each request where it costs least, with every cache and queue known without lag: greedy, one request at a time.
 */
import { Placement } from "../../routing";
import { FleetGroundTruth } from "./FleetGroundTruth";
import { rotate } from "./rotate";

/**
 * Creates the placement that sees everything.
 * @param blockTokens - How many tokens a piece of cache holds.
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

            /** Gets the prompt tokens that are computed before the first token comes. */
            function getCost(engine: string): number {
                const cachedTokens = groundTruth.countCachedBlocks(engine, request.hashes) * blockTokens;
                const uncachedTokens = Math.max(0, request.promptTokens - cachedTokens);
                return groundTruth.getPendingTokens(engine, !groundTruth.isLong(uncachedTokens)) + uncachedTokens;
            }
        },
        addObservation: () => {},
    };
}
