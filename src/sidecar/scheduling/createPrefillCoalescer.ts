/*
 * Coalesces the prefills of requests that miss the same prefix at the same time: the first request, the provider,
 * computes it, and the others wait for the provider's first token and then find the prefix cached. An engine doesn't
 * evict the blocks of running requests, so these count as cached.
 */
import { PrefixIndex } from "../PrefixIndex";
import { PrefillCoalescer } from "./PrefillCoalescer";
import { QueuedRequest } from "./QueuedRequest";

/**
 * Creates the coalescer of one engine's prefills.
 * @param prefixIndex - The index of the engine's cached blocks; undefined for a plain service.
 */
export function createPrefillCoalescer(prefixIndex: PrefixIndex | undefined): PrefillCoalescer {
    const providers = new Map<string, QueuedRequest>();
    const dependentsByProvider = new Map<QueuedRequest, Set<QueuedRequest>>();
    const pinnedCounts = new Map<string, number>();
    const plannedCounts = new Map<string, number>();
    const planned = new Set<QueuedRequest>();
    let dependentCount = 0;
    return {
        countCachedBlocks,
        addPlanned,
        removePlanned,
        countPlannedBlocks,
        getProvider,
        addDependent,
        removeDependent,
        beginPrefill,
        endPrefill,
        unpinBlocks,
        getDependentCount: () => dependentCount,
        getDependents: () => [...dependentsByProvider.values()].flatMap(dependents => [...dependents]),
    };

    function countCachedBlocks(hashes: readonly string[]): number {
        let count = prefixIndex?.getLikelyBlocks(hashes) ?? 0;
        while (count < hashes.length && pinnedCounts.has(hashes[count]!)) {
            count++;
        }
        return count;
    }

    function addPlanned(admitted: QueuedRequest): void {
        planned.add(admitted);
        changeCounts(plannedCounts, admitted.request.prefixHashes, 1);
    }

    function removePlanned(admitted: QueuedRequest): void {
        if (planned.delete(admitted)) {
            changeCounts(plannedCounts, admitted.request.prefixHashes, -1);
        }
    }

    function countPlannedBlocks(hashes: readonly string[], cachedBlocks: number): number {
        let count = cachedBlocks;
        while (count < hashes.length && plannedCounts.has(hashes[count]!)) {
            count++;
        }
        return count;
    }

    function getProvider(hashes: readonly string[], cachedBlocks: number): QueuedRequest | undefined {
        const missing = hashes[cachedBlocks];
        return missing === undefined ? undefined : providers.get(missing);
    }

    function addDependent(waiting: QueuedRequest, provider: QueuedRequest): void {
        waiting.provider = provider;
        const dependents = dependentsByProvider.get(provider) ?? new Set();
        dependents.add(waiting);
        dependentsByProvider.set(provider, dependents);
        dependentCount++;
    }

    function removeDependent(waiting: QueuedRequest): boolean {
        const provider = waiting.provider;
        if (provider === undefined) {
            return false;
        }
        waiting.provider = undefined;
        dependentsByProvider.get(provider)?.delete(waiting);
        dependentCount--;
        return true;
    }

    function beginPrefill(running: QueuedRequest): void {
        const { prefixHashes: hashes } = running.request;
        for (let block = running.estimate.cachedBlocks; block < hashes.length; block++) {
            if (!providers.has(hashes[block]!)) {
                providers.set(hashes[block]!, running);
            }
        }
    }

    function endPrefill(running: QueuedRequest, hasSucceeded: boolean): readonly QueuedRequest[] {
        for (const hash of running.request.prefixHashes) {
            if (providers.get(hash) === running) {
                providers.delete(hash);
            }
        }
        removePlanned(running);
        if (hasSucceeded) {
            changeCounts(pinnedCounts, running.request.prefixHashes, 1);
        }
        const dependents = [...dependentsByProvider.get(running) ?? []];
        dependents.forEach(removeDependent);
        dependentsByProvider.delete(running);
        return dependents;
    }

    function unpinBlocks(running: QueuedRequest): void {
        changeCounts(pinnedCounts, running.request.prefixHashes, -1);
    }
}

/** Increases or decreases the count of each hash, and deletes counts that become 0. */
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
