/*
 * Records which processes failed requests. A suspicion expires; its duration doubles each time the same incarnation
 * fails again soon after.
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
 * @param clock - The process's clock.
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

    /** Gets the duration of a suspicion: longer if the previous one of this incarnation ended recently. */
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
