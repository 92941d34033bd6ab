/*
 * Shares prefills among requests that miss the same prefix at the same time: the first computes it, the others wait for
 * its first token and then find it cached. An engine keeps the pieces of what it runs, so these count as held.
 */
import { PrefixIndex } from "../PrefixIndex";
import { PrefillSharing } from "./PrefillSharing";
import { QueuedRequest } from "./QueuedRequest";

/**
 * Creates the sharing of one engine's prefills.
 * @param prefixIndex - What the engine holds; none for a plain service.
 */
export function createPrefillSharing(prefixIndex: PrefixIndex | undefined): PrefillSharing {
    const providers = new Map<string, QueuedRequest>();
    const heldByProvider = new Map<QueuedRequest, Set<QueuedRequest>>();
    const pinnedCounts = new Map<string, number>();
    const plannedCounts = new Map<string, number>();
    const planned = new Set<QueuedRequest>();
    let heldCount = 0;
    return {
        countHeldPieces,
        plan,
        endPlan,
        countPlannedPieces,
        getProvider,
        hold,
        letGo,
        beginPrefill,
        endPrefill,
        end,
        getHeldCount: () => heldCount,
        getHeld: () => [...heldByProvider.values()].flatMap(held => [...held]),
    };

    function countHeldPieces(hashes: readonly string[]): number {
        let count = prefixIndex?.getLikelyPieces(hashes) ?? 0;
        while (count < hashes.length && pinnedCounts.has(hashes[count]!)) {
            count++;
        }
        return count;
    }

    function plan(admitted: QueuedRequest): void {
        planned.add(admitted);
        changeCounts(plannedCounts, admitted.request.hashes, 1);
    }

    function endPlan(admitted: QueuedRequest): void {
        if (planned.delete(admitted)) {
            changeCounts(plannedCounts, admitted.request.hashes, -1);
        }
    }

    function countPlannedPieces(hashes: readonly string[], heldPieces: number): number {
        let count = heldPieces;
        while (count < hashes.length && plannedCounts.has(hashes[count]!)) {
            count++;
        }
        return count;
    }

    function getProvider(hashes: readonly string[], cachedPieces: number): QueuedRequest | undefined {
        const missing = hashes[cachedPieces];
        return missing === undefined ? undefined : providers.get(missing);
    }

    function hold(waiting: QueuedRequest, provider: QueuedRequest): void {
        waiting.heldFor = provider;
        const held = heldByProvider.get(provider) ?? new Set();
        held.add(waiting);
        heldByProvider.set(provider, held);
        heldCount++;
    }

    function letGo(waiting: QueuedRequest): boolean {
        const provider = waiting.heldFor;
        if (provider === undefined) {
            return false;
        }
        waiting.heldFor = undefined;
        heldByProvider.get(provider)?.delete(waiting);
        heldCount--;
        return true;
    }

    function beginPrefill(running: QueuedRequest): void {
        const { hashes } = running.request;
        for (let piece = running.estimate.cachedPieces; piece < hashes.length; piece++) {
            if (!providers.has(hashes[piece]!)) {
                providers.set(hashes[piece]!, running);
            }
        }
    }

    function endPrefill(running: QueuedRequest, hasSucceeded: boolean): readonly QueuedRequest[] {
        for (const hash of running.request.hashes) {
            if (providers.get(hash) === running) {
                providers.delete(hash);
            }
        }
        endPlan(running);
        if (hasSucceeded) {
            changeCounts(pinnedCounts, running.request.hashes, 1);
        }
        const held = [...heldByProvider.get(running) ?? []];
        held.forEach(letGo);
        heldByProvider.delete(running);
        return held;
    }

    function end(running: QueuedRequest): void {
        changeCounts(pinnedCounts, running.request.hashes, -1);
    }
}

/** Counts each hash up or down, and forgets those that come to nothing. */
function changeCounts(counts: Map<string, number>, hashes: readonly string[], change: 1 | -1): void {
    for (const hash of hashes) {
        const count = (counts.get(hash) ?? 0) + change;
        if (count > 0) {
            counts.set(hash, count);
        }
        else {
            counts.delete(hash);
        }
    }
}
