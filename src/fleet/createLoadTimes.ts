/*
 * Measures loads, so that the next engine can get ready while the one before finishes: an engine shows its new weights
 * only some time after it has read them.
 */
import { Clock } from "../runtime";
import { LoadTimes } from "./LoadTimes";

/**
 * How much shorter than measured a load is at the store, in milliseconds: the lag of engines' reports, and the time in
 * which the next engine leaves placement.
 */
const lagMilliseconds = 400;

/**
 * Creates times without any load yet.
 * @param clock - The passing of time.
 */
export function createLoadTimes(clock: Clock): LoadTimes {
    const chosen = new Set<string>();
    const accepted = new Map<string, number>();
    let shortest: number | undefined;
    return {
        noteChosen: instanceId => chosen.add(instanceId),
        noteAccepted: instanceId => accepted.set(instanceId, clock.getMonotonicMilliseconds()),
        noteServed,
        noteEnded,
        isStoreBusy,
    };

    function noteServed(instanceId: string): void {
        const start = accepted.get(instanceId);
        if (start !== undefined) {
            shortest = Math.min(shortest ?? Infinity, clock.getMonotonicMilliseconds() - start);
        }
    }

    function noteEnded(instanceId: string): void {
        chosen.delete(instanceId);
        accepted.delete(instanceId);
    }

    function isStoreBusy(instanceId: string): boolean {
        const start = accepted.get(instanceId);
        if (start === undefined || shortest === undefined) {
            return chosen.has(instanceId);
        }
        return clock.getMonotonicMilliseconds() - start < shortest - lagMilliseconds;
    }
}
