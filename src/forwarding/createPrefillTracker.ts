/*
 * Tracks for some seconds to which engines shared prefixes were sent: about as long as an engine under load keeps
 * unused prefixes cached.
 */
import { LRUCache } from "lru-cache";
import { Clock } from "../runtime";
import { PrefillTracker } from "./PrefillTracker";

/** How long an engine is assumed to have a prefix cached. */
const retentionMilliseconds = 10_000;
/** The maximum number of tracked prefixes: more than are sent within that time. */
const maximumPrefixes = 16_384;

/** The prefill of a prefix that has not ended yet. */
interface PrefillInFlight {
    ended: Promise<void>;
    end(): void;
}

/**
 * Creates an empty tracker.
 * @param clock - The clock.
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
