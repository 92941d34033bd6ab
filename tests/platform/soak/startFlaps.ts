/*
 * Lets backend servers of a soak restart in turn, each time under another id at the same address.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/runtime";
import { SoakBackend } from "./SoakBackend";
import { startSeries } from "./startSeries";

const maximumPauseMilliseconds = 300;

/** The options of `startFlaps`. */
interface FlapsOptions {
    /** The backend servers. */
    backends: readonly SoakBackend[];
    /** Chooses the servers and the pauses. */
    random: RandomSource;
}

/**
 * Starts the restarts.
 * @param options - The servers.
 * @returns Stops, and waits for the last one.
 */
export function startFlaps({ backends, random }: FlapsOptions): () => Promise<void> {
    return startSeries(async () => {
        await backends[random.getInteger(backends.length)]!.restart();
        await sleep(random.getInteger(maximumPauseMilliseconds));
    });
}
