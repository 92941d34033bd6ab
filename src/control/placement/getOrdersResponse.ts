/*
 * Answers the query of a sidecar for its open order.
 */
import { OrdersResponse } from "./OrdersResponse";
import { RolloutPartState } from "./RolloutPartState";

/**
 * Gets the response to an orders query. A step under observation has no open order, since it has been executed.
 * @param state - The state of all rollouts.
 * @param sidecar - The instance id of the sidecar.
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
