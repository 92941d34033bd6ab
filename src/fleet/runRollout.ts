/*
 * The leader's task that keeps engines on the newest named weights, a few at a time.
 */
import { ConsensusRole } from "../control/consensus";
import { chooseWeightsLoads } from "./chooseWeightsLoads";
import { createUnresponsiveEngines } from "./createUnresponsiveEngines";
import { RolloutOptions } from "./RolloutOptions";
import { runWeightsLoad } from "./runWeightsLoad";

/** How often engines are chosen, in milliseconds: well below the time of one load. */
const selectionIntervalMilliseconds = 50;

/**
 * Rolls out weights until the signal ends the task.
 * @param options - What rollouts are made of.
 */
export async function runRollout(options: RolloutOptions): Promise<void> {
    const { documents, fleetTracker: board, log, clock, signal, handoverMilliseconds } = options;
    const loads = new Set<Promise<void>>();
    const unresponsiveEngines = createUnresponsiveEngines(clock);
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
    await Promise.all(loads);

    function startLoads(): void {
        for (
            const choice of chooseWeightsLoads(board.getInstances(), documents.getNamedWeights(), unresponsiveEngines)
        ) {
            const load = runWeightsLoad(choice, options, unresponsiveEngines).finally(() => loads.delete(load));
            loads.add(load);
        }
    }
}
