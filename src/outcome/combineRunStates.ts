/*
 * The run state of a request after several attempts.
 */
import { RunState } from "../protocol";

/**
 * Combines the run states of two attempts at one request: it ran where either attempt ran, and it is proven not to have
 * run only where that is proven of both.
 * @param first - The run state of one attempt.
 * @param second - The run state of the other.
 */
export function combineRunStates(first: RunState, second: RunState): RunState {
    const states = [first, second];
    if (states.includes(RunState.RAN)) {
        return RunState.RAN;
    }
    return states.every(state => state === RunState.NOT_RUN) ? RunState.NOT_RUN : RunState.UNKNOWN;
}
