/*
 * Encodes the snapshot of the rollout part.
 */
import { SystemEvent } from "../SystemEvent";
import { RolloutPartState } from "./RolloutPartState";

/**
 * Encodes the state as JSON, with bigints as decimal text.
 * @param state - The state of all rollouts.
 * @param events - The event history of the part.
 */
export function encodeRolloutSnapshot(state: RolloutPartState, events: readonly SystemEvent[]): Uint8Array {
    const stored = {
        rollouts: [...state.rollouts.values()],
        openSteps: [...state.openSteps.values()],
        lastNumber: state.lastNumber,
        events,
    };
    const text = JSON.stringify(stored, toJsonValue);
    return Buffer.from(text, "utf8");
}

/** Converts a bigint into text, since JSON can't hold it. */
function toJsonValue(key: string, value: unknown): unknown {
    return key !== "" && typeof value === "bigint" ? value.toString() : value;
}
