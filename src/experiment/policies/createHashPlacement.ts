/*
 * Sends each request where the hash of its prompt's first pieces says.
 */
import { createHash } from "node:crypto";
import { Placement } from "../../routing";

const hashedBlocks = 3;

/** Creates a placement by rendezvous hashing of the third piece, or of the last one before it. */
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

/** Gets how well a key and an instance go together, as a number that looks random. */
function getScore(key: string, instanceId: string): number {
    return createHash("sha256").update(`${key}/${instanceId}`).digest().readUInt32BE(0);
}
