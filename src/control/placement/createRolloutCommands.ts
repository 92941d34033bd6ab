/*
 * Commits the planner's decisions.
 */
import { create } from "@bufbuild/protobuf";
import {
    Command,
    CommandSchema,
    ProcessRecord,
    RolloutControlSchema,
    RolloutStartSchema,
    RolloutState,
    RolloutStep,
    RolloutStepSchema,
} from "../../protocol";
import { RolloutTarget } from "../configuration";
import { ControlClient } from "../ControlClient";
import { ModelRollout } from "./ModelRollout";
import { OpenStep } from "./OpenStep";
import { PlannedOrder } from "./PlannedOrder";
import { StepVerdict } from "./StepVerdict";

/** Commits rollout commands; each tells whether it was committed and accepted. */
interface RolloutCommands {
    /** Makes a target the model's rollout, or corrects its size. */
    startRollout(model: string, target: RolloutTarget, revision: bigint, size: number): Promise<boolean>;
    /** Opens a step. */
    openStep(rollout: ModelRollout, record: ProcessRecord, order: PlannedOrder): Promise<boolean>;
    /** Ends a step as it was judged. */
    endStep(step: OpenStep, verdict: Exclude<StepVerdict, { kind: "waiting"; }>): Promise<boolean>;
    /** Notes that every backend server holds what is wanted. */
    finishRollout(rollout: ModelRollout): Promise<boolean>;
}

/**
 * Creates the commands.
 * @param control - Commits commands.
 */
export function createRolloutCommands(control: ControlClient): RolloutCommands {
    return { startRollout, openStep, endStep, finishRollout };

    function startRollout(model: string, target: RolloutTarget, revision: bigint, size: number): Promise<boolean> {
        const value = create(RolloutStartSchema, {
            model,
            version: target.version,
            adapters: [...target.adapters ?? []],
            roles: { ...target.roles },
            configurationRevision: revision,
            size,
        });
        return commit({ case: "rolloutStart", value });
    }

    function openStep(rollout: ModelRollout, record: ProcessRecord, order: PlannedOrder): Promise<boolean> {
        const step = create(RolloutStepSchema, {
            ...order,
            model: rollout.model,
            version: rollout.version,
            companion: record.instanceId,
            companionIncarnation: record.incarnation,
            configurationRevision: rollout.revision,
        });
        return commit({ case: "rolloutStep", value: step });
    }

    function endStep(step: OpenStep, verdict: Exclude<StepVerdict, { kind: "waiting"; }>): Promise<boolean> {
        return commit({ case: "rolloutStep", value: createStepEnd(step, verdict) });
    }

    function finishRollout(rollout: ModelRollout): Promise<boolean> {
        const value = create(RolloutControlSchema, {
            model: rollout.model,
            state: RolloutState.DONE,
            configurationRevision: rollout.revision,
        });
        return commit({ case: "rolloutControl", value });
    }

    async function commit(command: Command["command"]): Promise<boolean> {
        const outcome = await control.execute(create(CommandSchema, { command }));
        if (outcome.kind !== "committed" || outcome.result.result.case !== "rollout") {
            return false;
        }
        return outcome.result.result.value.accepted;
    }
}

/** Creates the end of a step from its verdict. */
function createStepEnd(step: OpenStep, verdict: Exclude<StepVerdict, { kind: "waiting"; }>): RolloutStep {
    return create(RolloutStepSchema, {
        model: step.model,
        version: step.version,
        companion: step.companion,
        number: step.number,
        ended: true,
        observed: true,
        succeeded: verdict.kind === "passed",
        partial: verdict.kind === "passed" && verdict.isPartial,
        lost: verdict.kind === "lost",
        reason: verdict.kind === "passed" ? "" : verdict.reason,
    });
}
