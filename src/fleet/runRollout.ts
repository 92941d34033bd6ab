/*
 * The leader's task that brings the engines to the newest named weights, a few engines at a time.
 */
import { ConsensusRole } from "../control/consensus";
import { TaskName } from "../metrics";
import { superviseTask } from "../supervision";
import { chooseWeightsLoads } from "./chooseWeightsLoads";
import { createUnresponsiveEngines } from "./createUnresponsiveEngines";
import { RolloutOptions } from "./RolloutOptions";
import { runWeightsLoad } from "./runWeightsLoad";

/** The interval at which engines are chosen, in milliseconds: well below the duration of one load. */
const selectionIntervalMilliseconds = 50;

/**
 * Rolls out weights until the signal stops the task; the promise resolves once the running loads have ended.
 * @param options - The options of rollouts.
 */
export async function runRollout(options: RolloutOptions): Promise<void> {
    const { documents, fleetTracker, log, clock, signal, handoverMilliseconds } = options;
    const runs = new Set<Promise<void>>();
    const unresponsiveEngines = createUnresponsiveEngines(clock, options.isReportedUnresponsive);
    let leaderTerm: bigint | undefined;
    let handoverEndMilliseconds = 0;
    while (!signal.aborted) {
        const { role, term } = log.getStatus();
        if (role !== ConsensusRole.Leader) {
            leaderTerm = undefined;
        }
        else if (leaderTerm !== term) {
            leaderTerm = term;
            handoverEndMilliseconds = clock.getMonotonicMilliseconds() + handoverMilliseconds;
        }
        if (leaderTerm !== undefined && clock.getMonotonicMilliseconds() >= handoverEndMilliseconds) {
            startLoads();
        }
        await clock.sleep(selectionIntervalMilliseconds, signal);
    }
    await Promise.all(runs);

    function startLoads(): void {
        for (
            const load of chooseWeightsLoads(
                fleetTracker.getInstances(),
                documents.getNamedWeights(),
                unresponsiveEngines,
            )
        ) {
            const run = superviseTask(
                TaskName.WeightsLoad,
                () => runWeightsLoad(load, options, unresponsiveEngines),
                options,
            ).finally(() => runs.delete(run));
            runs.add(run);
        }
    }
}
