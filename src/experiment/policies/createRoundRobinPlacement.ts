/*
 * Sends each request to the next engine.
 */
import { Placement } from "../../routing";
import { rotate } from "./rotate";

/** Creates the placement of one entry. */
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
