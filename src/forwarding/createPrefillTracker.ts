/*
 * Remembers for some seconds where beginnings were read: about as long as an engine under load keeps what is not used.
 */
import { LRUCache } from "lru-cache";
import { Clock } from "../runtime";
import { PrefillTracker } from "./PrefillTracker";

/** How long an engine is taken to hold what it read, in milliseconds. */
const retentionMilliseconds = 10_000;
/** The beginnings that are remembered: more than come within that time. */
const maximumPrefixes = 16_384;

/** A read that is under way. */
interface PrefillInFlight {
    ended: Promise<void>;
    end(): void;
}

/**
 * Creates an empty memory.
 * @param clock - The passing of time.
 */
export function createPrefillTracker(clock: Clock): PrefillTracker {
    const startTimes = new LRUCache<string, Map<string, number>>({ max: maximumPrefixes });
    const prefillsInFlight = new Map<string, PrefillInFlight>();
    const keysByRequest = new Map<string, readonly string[]>();
    return {
        recordPrefillStart,
        recordPrefillEnd,
        isLikelyCached: (key, instanceId) => isRecent(startTimes.get(key)?.get(instanceId), retentionMilliseconds),
        getHolders,
        getPrefillInFlight: key => prefillsInFlight.get(key)?.ended,
    };

    function recordPrefillStart(requestId: string, keys: readonly string[], instanceId: string): void {
        recordPrefillEnd(requestId);
        const newKeys = keys.filter(key =>
            !prefillsInFlight.has(key) && getHolders(key, retentionMilliseconds).length === 0
        );
        newKeys.forEach(key => prefillsInFlight.set(key, createPrefillInFlight()));
        keysByRequest.set(requestId, newKeys);
        keys.forEach(key => recordStartTime(key, instanceId));
    }

    function recordPrefillEnd(requestId: string): void {
        for (const key of keysByRequest.get(requestId) ?? []) {
            prefillsInFlight.get(key)?.end();
            prefillsInFlight.delete(key);
        }
        keysByRequest.delete(requestId);
    }

    function recordStartTime(key: string, instanceId: string): void {
        const times = startTimes.get(key) ?? new Map<string, number>();
        times.delete(instanceId);
        times.set(instanceId, clock.getMonotonicMilliseconds());
        startTimes.set(key, times);
    }

    function getHolders(key: string, maximumAgeMilliseconds: number): readonly string[] {
        const times = [...startTimes.get(key) ?? []].reverse();
        return times.filter(([, time]) => isRecent(time, maximumAgeMilliseconds)).map(([instanceId]) => instanceId);
    }

    function isRecent(time: number | undefined, maximumAgeMilliseconds: number): boolean {
        return time !== undefined && clock.getMonotonicMilliseconds() - time < maximumAgeMilliseconds;
    }
}

function createPrefillInFlight(): PrefillInFlight {
    let resolveEnded: () => void = () => undefined;
    const ended = new Promise<void>(resolve => resolveEnded = resolve);
    return { ended, end: resolveEnded };
}
