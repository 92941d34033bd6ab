/*
 * The snapshot form of the rollouts' state.
 */
import { SystemEvent } from "../SystemEvent";
import { RolloutPartState } from "./RolloutPartState";

/**
 * Encodes the state as JSON, with long numbers as strings.
 * @param state - The state of all rollouts.
 * @param events - The events kept.
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

/** Turns a long number into a string, which JSON can hold. */
function toJsonValue(key: string, value: unknown): unknown {
    return key !== "" && typeof value === "bigint" ? value.toString() : value;
}
