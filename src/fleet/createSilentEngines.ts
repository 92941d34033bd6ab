/*
 * Remembers for a while which engines did not answer, so that they hold up no rollout.
 */
import { Clock } from "../runtime";
import { SilentEngines } from "./SilentEngines";

/** How long an engine is left alone that did not answer, in milliseconds: a crashed one is back after about as long. */
const silentMilliseconds = 1_000;

/**
 * Creates an empty memory.
 * @param clock - The passing of time.
 */
export function createSilentEngines(clock: Clock): SilentEngines {
    const times = new Map<string, number>();
    return { note, has };

    function note(instanceId: string): void {
        times.set(instanceId, clock.getMonotonicMilliseconds());
    }

    function has(instanceId: string): boolean {
        const time = times.get(instanceId);
        return time !== undefined && clock.getMonotonicMilliseconds() - time < silentMilliseconds;
    }
}
