/*
 * Lets sound backend servers of a soak fall silent in series: one, several at once, or all of a service.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/runtime";
import { SoakBackend } from "./SoakBackend";
import { startSeries } from "./startSeries";

const minimumMilliseconds = 500;
const rangeMilliseconds = 2_500;
const maximumPauseMilliseconds = 1_500;

/** The options of `startSilences`. */
interface SilencesOptions {
    /** The backend servers. */
    backends: readonly SoakBackend[];
    /** Chooses the servers, the lengths of the silences and the pauses between them. */
    random: RandomSource;
    /** Is told of each silence as it begins. */
    onSilence(description: string): void;
}

/**
 * Starts the silences.
 * @param options - The servers and what the silences need.
 * @returns Stops, and waits for the end of the silences that have begun.
 */
export function startSilences({ backends, random, onSilence }: SilencesOptions): () => Promise<void> {
    return startSeries(async () => {
        await Promise.all(pickBackends().map(fallSilent));
        await sleep(random.getInteger(maximumPauseMilliseconds));
    });

    function pickBackends(): readonly SoakBackend[] {
        const first = backends[random.getInteger(backends.length)]!;
        const choices = [
            () => [first],
            () => backends.filter(backend => backend === first || random.getInteger(2) === 0),
            () => backends.filter(({ service }) => service === first.service),
        ];
        return choices[random.getInteger(choices.length)]!();
    }

    async function fallSilent(backend: SoakBackend): Promise<void> {
        const milliseconds = minimumMilliseconds + random.getInteger(rangeMilliseconds);
        onSilence(`${backend.name} is silent for ${milliseconds}`);
        await backend.fallSilent(milliseconds);
    }
}
