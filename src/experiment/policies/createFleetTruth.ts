/*
 * Follows all engines of an experiment.
 */
import { PlacementRequest } from "../../routing";
import { FleetTruth } from "./FleetTruth";

const longestShortTokens = 5_000;

interface Assignment {
    hashes: readonly string[];
    remainingTokens: number;
    isLong: boolean;
}

/**
 * Creates the ground truth of an experiment.
 * @param pieceTokens - How many tokens a piece of cache holds.
 */
export function createFleetTruth(pieceTokens: number): FleetTruth {
    const held = new Map<string, Set<string>>();
    const holders = new Map<string, number>();
    const assignments = new Map<string, Map<string, Assignment>>();
    let computedTokens = 0;
    let wastedTokens = 0;
    return {
        recordComputed: noteComputed,
        recordPrefilled: notePrefilled,
        recordStored: noteStored,
        recordRemoved: noteRemoved,
        recordCleared: noteCleared,
        addAssignment,
        countCached,
        getPendingTokens,
        isLong,
        getPendingRequests: engine => getAssignments(engine).size,
        getComputedTokens: () => computedTokens,
        getWastedTokens: () => wastedTokens,
    };

    function noteComputed(engine: string, requestId: string, hashes: readonly string[], tokens: number): void {
        computedTokens += tokens;
        for (const hash of hashes) {
            wastedTokens += (holders.get(hash) ?? 0) > 0 ? pieceTokens : 0;
        }
        const assignment = getAssignments(engine).get(requestId);
        if (assignment !== undefined) {
            assignment.remainingTokens = Math.max(0, assignment.remainingTokens - tokens);
        }
    }

    function notePrefilled(engine: string, requestId: string): void {
        getAssignments(engine).delete(requestId);
    }

    function noteStored(engine: string, hash: string): void {
        const pieces = getHeld(engine);
        if (!pieces.has(hash)) {
            pieces.add(hash);
            holders.set(hash, (holders.get(hash) ?? 0) + 1);
        }
    }

    function noteRemoved(engine: string, hash: string): void {
        if (!getHeld(engine).delete(hash)) {
            return;
        }
        const count = holders.get(hash)! - 1;
        if (count === 0) {
            holders.delete(hash);
        }
        else {
            holders.set(hash, count);
        }
    }

    function noteCleared(engine: string): void {
        for (const hash of [...getHeld(engine)]) {
            noteRemoved(engine, hash);
        }
        getAssignments(engine).clear();
    }

    function addAssignment(engine: string, request: PlacementRequest): void {
        const { hashes, promptTokens, requestId: spreadKey } = request;
        const remainingTokens = Math.max(1, promptTokens - countCached(engine, hashes) * pieceTokens);
        getAssignments(engine).set(spreadKey, { hashes, remainingTokens, isLong: isLong(remainingTokens) });
    }

    function countCached(engine: string, hashes: readonly string[]): number {
        const pieces = getHeld(engine);
        const missing = hashes.findIndex(hash => !pieces.has(hash));
        const count = missing === -1 ? hashes.length : missing;
        let longest = count;
        for (const assignment of getAssignments(engine).values()) {
            longest = Math.max(longest, countShared(assignment.hashes, hashes));
        }
        return longest;
    }

    function isLong(tokens: number): boolean {
        return tokens > longestShortTokens;
    }

    function getPendingTokens(engine: string, isShortOnly = false): number {
        let tokens = 0;
        for (const assignment of getAssignments(engine).values()) {
            tokens += isShortOnly && assignment.isLong ? 0 : assignment.remainingTokens;
        }
        return tokens;
    }

    function getHeld(engine: string): Set<string> {
        const pieces = held.get(engine) ?? new Set();
        held.set(engine, pieces);
        return pieces;
    }

    function getAssignments(engine: string): Map<string, Assignment> {
        const engineAssignments = assignments.get(engine) ?? new Map<string, Assignment>();
        assignments.set(engine, engineAssignments);
        return engineAssignments;
    }
}

/** Counts the first pieces that two chains share. */
function countShared(first: readonly string[], second: readonly string[]): number {
    let count = 0;
    while (count < first.length && first[count] === second[count]) {
        count++;
    }
    return count;
}
