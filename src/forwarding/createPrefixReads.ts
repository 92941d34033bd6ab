/*
 * Remembers for some seconds where beginnings were read: about as long as an engine under load keeps what is not used.
 */
import { LRUCache } from "lru-cache";
import { Clock } from "../runtime";
import { PrefixReads } from "./PrefixReads";

/** How long an engine is taken to hold what it read, in milliseconds. */
const holdMilliseconds = 10_000;
/** The beginnings that are remembered: more than come within that time. */
const maximumBeginnings = 16_384;

/**
 * Creates an empty memory.
 * @param clock - The passing of time.
 */
export function createPrefixReads(clock: Clock): PrefixReads {
    const reads = new LRUCache<string, Map<string, number>>({ max: maximumBeginnings });
    return { note, isHeld, getHolders };

    function note(key: string, instanceId: string): void {
        const times = reads.get(key) ?? new Map<string, number>();
        times.delete(instanceId);
        times.set(instanceId, clock.getMonotonicMilliseconds());
        reads.set(key, times);
    }

    function isHeld(key: string, instanceId: string): boolean {
        const time = reads.get(key)?.get(instanceId);
        return time !== undefined && clock.getMonotonicMilliseconds() - time < holdMilliseconds;
    }

    function getHolders(key: string): readonly string[] {
        return [...reads.get(key)?.keys() ?? []].reverse().filter(instanceId => isHeld(key, instanceId));
    }
}
