/*
 * Lets backend servers of a soak fail most of the requests that they run, for seconds: those of one service, or all.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/runtime";
import { SoakBackend } from "./SoakBackend";
import { startSeries } from "./startSeries";

const minimumMilliseconds = 1_500;
const rangeMilliseconds = 3_000;
const maximumPauseMilliseconds = 800;
const failingShare = 0.9;

/** The options of `startFailures`. */
interface FailuresOptions {
    /** The backend servers. */
    backends: readonly SoakBackend[];
    /** Chooses the services, the lengths of the failures and the pauses between them. */
    random: RandomSource;
    /** Is told of each failure as it begins. */
    onFailure(description: string): void;
}

/**
 * Starts the failures.
 * @param options - The servers and what the failures need.
 * @returns Stops, and waits for the end of the failure that has begun.
 */
export function startFailures({ backends, random, onFailure }: FailuresOptions): () => Promise<void> {
    return startSeries(async () => {
        const { service } = backends[random.getInteger(backends.length)]!;
        const failing = random.getInteger(2) === 0 ? backends : backends.filter(backend => backend.service === service);
        const milliseconds = minimumMilliseconds + random.getInteger(rangeMilliseconds);
        onFailure(`${failing === backends ? "all servers" : service} fail for ${milliseconds}`);
        failing.forEach(backend => backend.setFailingShare(failingShare));
        await sleep(milliseconds);
        failing.forEach(backend => backend.setFailingShare(0));
        await sleep(random.getInteger(maximumPauseMilliseconds));
    });
}
