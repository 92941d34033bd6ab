/*
 * Remembers for a while which engines did not answer, so that they hold up no rollout.
 */
import { Clock } from "../runtime";
import { UnresponsiveEngines } from "./UnresponsiveEngines";

/** How long an engine is left alone that did not answer, in milliseconds: a crashed one is back after about as long. */
const exclusionMilliseconds = 1_000;

/**
 * Creates an empty memory.
 * @param clock - The passing of time.
 */
export function createUnresponsiveEngines(clock: Clock): UnresponsiveEngines {
    const times = new Map<string, number>();
    return { record, has };

    function record(instanceId: string): void {
        times.set(instanceId, clock.getMonotonicMilliseconds());
    }

    function has(instanceId: string): boolean {
        const time = times.get(instanceId);
        return time !== undefined && clock.getMonotonicMilliseconds() - time < exclusionMilliseconds;
    }
}
