/*
 * Tracks the caches and the pending prefills of all engines of an experiment.
 */
import { PlacementRequest } from "../../routing";
import { FleetGroundTruth } from "./FleetGroundTruth";

const maximumShortPrefillTokens = 5_000;

/** A request that was sent to an engine and whose prefill has not ended. */
interface Assignment {
    hashes: readonly string[];
    remainingTokens: number;
    isLong: boolean;
}

/**
 * Creates the ground truth of an experiment, which records what the engines report.
 * @param blockTokens - The number of tokens in a block.
 */
export function createFleetGroundTruth(blockTokens: number): FleetGroundTruth {
    const blocksByEngine = new Map<string, Set<string>>();
    const holderCounts = new Map<string, number>();
    const assignmentsByEngine = new Map<string, Map<string, Assignment>>();
    let computedTokens = 0;
    let wastedTokens = 0;
    return {
        recordComputed,
        recordPrefilled,
        recordStored,
        recordRemoved,
        recordCleared,
        addAssignment,
        countCachedBlocks,
        getPendingTokens,
        isLong,
        getPendingRequests: engine => getAssignments(engine).size,
        getComputedTokens: () => computedTokens,
        getWastedTokens: () => wastedTokens,
    };

    function recordComputed(engine: string, requestId: string, hashes: readonly string[], tokens: number): void {
        computedTokens += tokens;
        for (const hash of hashes) {
            wastedTokens += (holderCounts.get(hash) ?? 0) > 0 ? blockTokens : 0;
        }
        const assignment = getAssignments(engine).get(requestId);
        if (assignment !== undefined) {
            assignment.remainingTokens = Math.max(0, assignment.remainingTokens - tokens);
        }
    }

    function recordPrefilled(engine: string, requestId: string): void {
        getAssignments(engine).delete(requestId);
    }

    function recordStored(engine: string, hash: string): void {
        const blocks = getBlocks(engine);
        if (!blocks.has(hash)) {
            blocks.add(hash);
            holderCounts.set(hash, (holderCounts.get(hash) ?? 0) + 1);
        }
    }

    function recordRemoved(engine: string, hash: string): void {
        if (!getBlocks(engine).delete(hash)) {
            return;
        }
        const count = holderCounts.get(hash)! - 1;
        if (count === 0) {
            holderCounts.delete(hash);
        }
        else {
            holderCounts.set(hash, count);
        }
    }

    function recordCleared(engine: string): void {
        for (const hash of [...getBlocks(engine)]) {
            recordRemoved(engine, hash);
        }
        getAssignments(engine).clear();
    }

    function addAssignment(engine: string, request: PlacementRequest): void {
        const { hashes, promptTokens, requestId } = request;
        const remainingTokens = Math.max(1, promptTokens - countCachedBlocks(engine, hashes) * blockTokens);
        getAssignments(engine).set(requestId, { hashes, remainingTokens, isLong: isLong(remainingTokens) });
    }

    function countCachedBlocks(engine: string, hashes: readonly string[]): number {
        const blocks = getBlocks(engine);
        const firstMissing = hashes.findIndex(hash => !blocks.has(hash));
        const count = firstMissing === -1 ? hashes.length : firstMissing;
        let maximumCount = count;
        for (const assignment of getAssignments(engine).values()) {
            maximumCount = Math.max(maximumCount, countSharedBlocks(assignment.hashes, hashes));
        }
        return maximumCount;
    }

    function isLong(tokens: number): boolean {
        return tokens > maximumShortPrefillTokens;
    }

    function getPendingTokens(engine: string, isShortOnly = false): number {
        let tokens = 0;
        for (const assignment of getAssignments(engine).values()) {
            tokens += isShortOnly && assignment.isLong ? 0 : assignment.remainingTokens;
        }
        return tokens;
    }

    function getBlocks(engine: string): Set<string> {
        const blocks = blocksByEngine.get(engine) ?? new Set();
        blocksByEngine.set(engine, blocks);
        return blocks;
    }

    function getAssignments(engine: string): Map<string, Assignment> {
        const engineAssignments = assignmentsByEngine.get(engine) ?? new Map<string, Assignment>();
        assignmentsByEngine.set(engine, engineAssignments);
        return engineAssignments;
    }
}

/** Counts the leading blocks that two chains share. */
function countSharedBlocks(first: readonly string[], second: readonly string[]): number {
    let count = 0;
    while (count < first.length && first[count] === second[count]) {
        count++;
    }
    return count;
}
