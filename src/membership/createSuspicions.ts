/*
 * Which processes the data path has found to fail, for a time that grows while they keep failing.
 */
import { Clock } from "../runtime";
import { Suspicions } from "./Suspicions";

const firstSuspicionMilliseconds = 5_000;
const maximumSuspicionMilliseconds = 60_000;
const repeatWindowMilliseconds = 120_000;
const growthFactor = 2;

interface Suspicion {
    incarnation: string;
    expiresAtMilliseconds: number;
    durationMilliseconds: number;
}

/**
 * Creates an empty set of suspicions.
 * @param clock - The passing of time.
 */
export function createSuspicions(clock: Clock): Suspicions {
    const suspicions = new Map<string, Suspicion>();
    let nextExpiryMilliseconds = Number.POSITIVE_INFINITY;
    return { add, clear, isSuspected, hasExpiredSinceLastCall };

    function add(instanceId: string, incarnation: string): void {
        const now = clock.getMonotonicMilliseconds();
        const previous = suspicions.get(instanceId);
        const durationMilliseconds = getDurationMilliseconds(previous, incarnation, now);
        if (previous !== undefined && previous.incarnation === incarnation && previous.expiresAtMilliseconds > now) {
            return;
        }
        suspicions.set(instanceId, {
            incarnation,
            expiresAtMilliseconds: now + durationMilliseconds,
            durationMilliseconds,
        });
        nextExpiryMilliseconds = Math.min(nextExpiryMilliseconds, now + durationMilliseconds);
    }

    /** Gets how long a suspicion lasts: longer when the last one of this incarnation was not long ago. */
    function getDurationMilliseconds(previous: Suspicion | undefined, incarnation: string, now: number): number {
        if (previous === undefined || previous.incarnation !== incarnation) {
            return firstSuspicionMilliseconds;
        }
        if (now - previous.expiresAtMilliseconds > repeatWindowMilliseconds) {
            return firstSuspicionMilliseconds;
        }
        return Math.min(maximumSuspicionMilliseconds, previous.durationMilliseconds * growthFactor);
    }

    function clear(instanceId: string): void {
        suspicions.delete(instanceId);
    }

    function isSuspected(instanceId: string, incarnation: string): boolean {
        const suspicion = suspicions.get(instanceId);
        if (suspicion === undefined || suspicion.incarnation !== incarnation) {
            return false;
        }
        return suspicion.expiresAtMilliseconds > clock.getMonotonicMilliseconds();
    }

    /** Tells whether a suspicion has ended since the last call. */
    function hasExpiredSinceLastCall(): boolean {
        const now = clock.getMonotonicMilliseconds();
        if (now < nextExpiryMilliseconds) {
            return false;
        }
        nextExpiryMilliseconds = Number.POSITIVE_INFINITY;
        for (const suspicion of suspicions.values()) {
            if (suspicion.expiresAtMilliseconds > now) {
                nextExpiryMilliseconds = Math.min(nextExpiryMilliseconds, suspicion.expiresAtMilliseconds);
            }
        }
        return true;
    }
}
