/*
 * Decodes the snapshot of the rollout part.
 */
import { SystemEvent } from "../SystemEvent";
import { ModelRollout } from "./ModelRollout";
import { OpenStep } from "./OpenStep";
import { RolloutPartState } from "./RolloutPartState";
import { StepFencingToken } from "./StepFencingToken";

interface StoredFencingToken {
    term: string;
    index: string;
}

interface RolloutSnapshot {
    rollouts: (Omit<ModelRollout, "revision"> & { revision: string; })[];
    openSteps: (Omit<OpenStep, "revision" | "number"> & { revision: string; number: StoredFencingToken; })[];
    lastNumber: StoredFencingToken;
    events: SystemEvent[];
}

/**
 * Decodes a snapshot that `encodeRolloutSnapshot` returned.
 * @param snapshot - The snapshot; empty for the state of an empty group.
 */
export function decodeRolloutSnapshot(
    snapshot: Uint8Array,
): { state: RolloutPartState; events: readonly SystemEvent[]; } {
    if (snapshot.length === 0) {
        const state = { rollouts: new Map(), openSteps: new Map(), lastNumber: { term: 0n, index: 0n } };
        return { state, events: [] };
    }
    const stored = JSON.parse(Buffer.from(snapshot).toString("utf8")) as RolloutSnapshot;
    const rollouts = stored.rollouts.map(rollout => ({ ...rollout, revision: BigInt(rollout.revision) }));
    const openSteps = stored.openSteps.map(step => ({
        ...step,
        revision: BigInt(step.revision),
        number: toFencingToken(step.number),
    }));
    const state: RolloutPartState = {
        rollouts: new Map(rollouts.map(rollout => [rollout.model, rollout])),
        openSteps: new Map(openSteps.map(step => [step.companion, step])),
        lastNumber: toFencingToken(stored.lastNumber),
    };
    return { state, events: stored.events };
}

/** Converts a stored fencing token, whose parts are decimal text. */
function toFencingToken(stored: StoredFencingToken): StepFencingToken {
    return { term: BigInt(stored.term), index: BigInt(stored.index) };
}
