/*
 * What a sidecar learns when it asks which orders stand.
 */
import { OrdersAnswer } from "./OrdersAnswer";
import { PlacementState } from "./PlacementState";

/**
 * Gets the answer to an orders query.
 * @param state - The state of all rollouts.
 * @param sidecar - The sidecar that asks.
 */
export function getOrdersAnswer(state: PlacementState, sidecar: string): OrdersAnswer {
    const { lastNumber } = state;
    const step = state.openSteps.get(sidecar);
    const openNumber = step === undefined || step.isObserved ? undefined : step.number;
    return {
        lastNumber: { term: lastNumber.term.toString(), index: lastNumber.index.toString() },
        openNumber: openNumber && { term: openNumber.term.toString(), index: openNumber.index.toString() },
    };
}
