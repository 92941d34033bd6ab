/*
 * Sends each request where it costs least, with every cache and queue known without lag: greedy, one request at a time.
 */
import { Placement } from "../../routing";
import { FleetTruth } from "./FleetTruth";
import { rotate } from "./rotate";

/**
 * Creates the placement that sees everything.
 * @param pieceTokens - How many tokens a piece of cache holds.
 */
export function createOraclePlacement(truth: FleetTruth, pieceTokens: number): Placement {
    let turn = 0;
    return {
        rank: (request, candidates) => {
            turn += 1;
            const rotated = rotate(candidates, turn);
            const costs = new Map(rotated.map(item => [item.instanceId, getCost(item.instanceId)]));
            const ranked = rotated.sort((first, second) => {
                return costs.get(first.instanceId)! - costs.get(second.instanceId)!;
            });
            const chosen = ranked.find(candidate => !request.excluded.has(candidate.instanceId));
            if (chosen !== undefined) {
                truth.addAssignment(chosen.instanceId, request);
            }
            return ranked;

            /** Gets the prompt tokens that are computed before the first token comes. */
            function getCost(engine: string): number {
                const cachedTokens = truth.countCached(engine, request.hashes) * pieceTokens;
                const ownTokens = Math.max(0, request.promptTokens - cachedTokens);
                return truth.getPendingTokens(engine, !truth.isLong(ownTokens)) + ownTokens;
            }
        },
        addObservation: () => {},
    };
}
