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

/** A read that is under way. */
interface Reading {
    ended: Promise<void>;
    end(): void;
}

/**
 * Creates an empty memory.
 * @param clock - The passing of time.
 */
export function createPrefixReads(clock: Clock): PrefixReads {
    const reads = new LRUCache<string, Map<string, number>>({ max: maximumBeginnings });
    const readings = new Map<string, Reading>();
    const keysByRequest = new Map<string, readonly string[]>();
    return {
        begin,
        end,
        isHeld: (key, instanceId) => isRecent(reads.get(key)?.get(instanceId), holdMilliseconds),
        getHolders,
        getReading: key => readings.get(key)?.ended,
    };

    function begin(requestId: string, keys: readonly string[], instanceId: string): void {
        end(requestId);
        const newKeys = keys.filter(key => !readings.has(key) && getHolders(key, holdMilliseconds).length === 0);
        newKeys.forEach(key => readings.set(key, createReading()));
        keysByRequest.set(requestId, newKeys);
        keys.forEach(key => noteTime(key, instanceId));
    }

    function end(requestId: string): void {
        for (const key of keysByRequest.get(requestId) ?? []) {
            readings.get(key)?.end();
            readings.delete(key);
        }
        keysByRequest.delete(requestId);
    }

    function noteTime(key: string, instanceId: string): void {
        const times = reads.get(key) ?? new Map<string, number>();
        times.delete(instanceId);
        times.set(instanceId, clock.getMonotonicMilliseconds());
        reads.set(key, times);
    }

    function getHolders(key: string, longestMilliseconds: number): readonly string[] {
        const times = [...reads.get(key) ?? []].reverse();
        return times.filter(([, time]) => isRecent(time, longestMilliseconds)).map(([instanceId]) => instanceId);
    }

    function isRecent(time: number | undefined, longestMilliseconds: number): boolean {
        return time !== undefined && clock.getMonotonicMilliseconds() - time < longestMilliseconds;
    }
}

function createReading(): Reading {
    let resolveEnded: () => void = () => undefined;
    const ended = new Promise<void>(resolve => resolveEnded = resolve);
    return { ended, end: resolveEnded };
}
