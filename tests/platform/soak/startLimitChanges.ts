/*
 * Changes the document of a soak, and mostly its limits, in series.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/runtime";
import { SoakOperator } from "./SoakOperator";
import { startSeries } from "./startSeries";

const minimumPauseMilliseconds = 500;
const pauseRangeMilliseconds = 2_000;

/** The options of `startLimitChanges`. */
interface LimitChangesOptions {
    /** Sends the documents. */
    operator: SoakOperator;
    /** Chooses the pauses. */
    random: RandomSource;
}

/**
 * Starts the changes.
 * @param options - The operator and what the changes need.
 * @returns Stops, and waits for the change that has begun.
 */
export function startLimitChanges({ operator, random }: LimitChangesOptions): () => Promise<void> {
    return startSeries(async () => {
        await operator.changeDocument();
        await sleep(minimumPauseMilliseconds + random.getInteger(pauseRangeMilliseconds));
    });
}
