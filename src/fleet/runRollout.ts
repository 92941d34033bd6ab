/*
 * The leader's task that keeps engines on the newest named weights, a few at a time.
 */
import { ConsensusRole } from "../control/consensus";
import { chooseLoads } from "./chooseLoads";
import { createSilentEngines } from "./createSilentEngines";
import { RolloutOptions } from "./RolloutOptions";
import { runLoad } from "./runLoad";

/** How often engines are chosen, in milliseconds: well below the time of one load. */
const chooseMilliseconds = 50;

/**
 * Rolls out weights until the signal ends the task.
 * @param options - What rollouts are made of.
 */
export async function runRollout(options: RolloutOptions): Promise<void> {
    const { documents, board, log, clock, signal, handoverMilliseconds } = options;
    const loads = new Set<Promise<void>>();
    const silentEngines = createSilentEngines(clock);
    let ledTerm: bigint | undefined;
    let orderMilliseconds = 0;
    while (!signal.aborted) {
        const { role, term } = log.getStatus();
        if (role !== ConsensusRole.Leader) {
            ledTerm = undefined;
        }
        else if (ledTerm !== term) {
            ledTerm = term;
            orderMilliseconds = clock.getMonotonicMilliseconds() + handoverMilliseconds;
        }
        if (ledTerm !== undefined && clock.getMonotonicMilliseconds() >= orderMilliseconds) {
            startLoads();
        }
        await clock.sleep(chooseMilliseconds, signal);
    }
    await Promise.all(loads);

    function startLoads(): void {
        for (const choice of chooseLoads(board.getInstances(), documents.getNamedWeights(), silentEngines)) {
            const load = runLoad(choice, options, silentEngines).finally(() => loads.delete(load));
            loads.add(load);
        }
    }
}
