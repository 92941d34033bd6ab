/*
 * Restarts the entry processes of a soak in series: kills, stops and reloads one, or kills all at once. Steps overlap, as a
 * stop takes longer than the pause to the next one.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/runtime";
import { FaultInjector } from "./createFaultInjector";
import { SoakFault } from "./SoakFault";
import { startSeries } from "./startSeries";

const minimumPauseMilliseconds = 300;
const pauseRangeMilliseconds = 1_200;

/** The options of `startRestarts`. */
interface RestartsOptions {
    /** Restarts processes. */
    injector: Pick<FaultInjector, "inject" | "killAllEntries">;
    /** Chooses the restarts and the pauses between them. */
    random: RandomSource;
    /** Is told of each restart as it begins. */
    onRestart(description: string): void;
}

/**
 * Starts the restarts.
 * @param options - The injector and what the restarts need.
 * @returns Stops, and waits for the end of those that have begun.
 */
export function startRestarts({ injector, random, onRestart }: RestartsOptions): () => Promise<void> {
    const steps = {
        [SoakFault.KillEntry]: () => injector.inject(SoakFault.KillEntry),
        [SoakFault.TerminateEntry]: () => injector.inject(SoakFault.TerminateEntry),
        [SoakFault.ReloadSettings]: () => injector.inject(SoakFault.ReloadSettings),
        killAllEntries: injector.killAllEntries,
    };
    const names = Object.keys(steps) as (keyof typeof steps)[];
    const running: Promise<void>[] = [];
    const stop = startSeries(async () => {
        const name = names[random.getInteger(names.length)]!;
        onRestart(`${name} in series`);
        running.push(steps[name]());
        await sleep(minimumPauseMilliseconds + random.getInteger(pauseRangeMilliseconds));
    });
    return async () => {
        await stop();
        await Promise.all(running);
    };
}
