/*
 * Repeats a step of a soak until it is stopped.
 */

/**
 * Starts the series.
 * @param runStep - Runs one step.
 * @returns Stops, and waits for the end of the step that has begun.
 */
export function startSeries(runStep: () => Promise<void>): () => Promise<void> {
    let isStopped = false;
    const series = runSteps();
    return async () => {
        isStopped = true;
        await series;
    };

    async function runSteps(): Promise<void> {
        while (!isStopped) {
            await runStep();
        }
    }
}
