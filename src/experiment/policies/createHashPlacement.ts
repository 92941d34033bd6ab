/*
 * Ranks engines by a hash of the prompt's first blocks.
 */
import { createHash } from "node:crypto";
import { Placement } from "../../routing";

const hashedBlocks = 3;

/** Creates a placement by rendezvous hashing of the prefix of three blocks, or of the whole chain if it is shorter. */
export function createHashPlacement(): Placement {
    return {
        rank: (request, candidates) => {
            const key = request.hashes[Math.min(hashedBlocks, request.hashes.length) - 1] ?? request.requestId;
            const scored = candidates.map(candidate => ({ candidate, score: getScore(key, candidate.instanceId) }));
            return scored.sort((first, second) => second.score - first.score).map(item => item.candidate);
        },
        addObservation: () => {},
    };
}

/** Gets the rendezvous score of an instance for a key. */
function getScore(key: string, instanceId: string): number {
    return createHash("sha256").update(`${key}/${instanceId}`).digest().readUInt32BE(0);
}
