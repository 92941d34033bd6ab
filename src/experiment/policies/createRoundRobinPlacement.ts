/*
 * Ranks engines in turn.
 */
import { Placement } from "../../routing";
import { rotate } from "./rotate";

/** Creates a round-robin placement for one entry, with its own counter. */
export function createRoundRobinPlacement(): Placement {
    let requestCount = 0;
    return {
        rank: (request, candidates) => {
            requestCount += 1;
            const usable = candidates.filter(candidate => !request.excluded.has(candidate.instanceId));
            return rotate(usable, requestCount);
        },
        addObservation: () => {},
    };
}
