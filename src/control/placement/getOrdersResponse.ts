/*
 * What a sidecar learns when it asks which orders stand.
 */
import { OrdersResponse } from "./OrdersResponse";
import { RolloutPartState } from "./RolloutPartState";

/**
 * Gets the answer to an orders query.
 * @param state - The state of all rollouts.
 * @param sidecar - The sidecar that asks.
 */
export function getOrdersResponse(state: RolloutPartState, sidecar: string): OrdersResponse {
    const { lastNumber } = state;
    const step = state.openSteps.get(sidecar);
    const openNumber = step === undefined || step.isObserved ? undefined : step.number;
    return {
        lastNumber: { term: lastNumber.term.toString(), index: lastNumber.index.toString() },
        openNumber: openNumber && { term: openNumber.term.toString(), index: openNumber.index.toString() },
    };
}
