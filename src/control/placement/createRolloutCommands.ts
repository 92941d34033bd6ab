/*
 * Commits the decisions of the rollout planner as commands of the replicated log.
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

/** Commits rollout commands. Each method returns whether the command was committed and accepted. */
interface RolloutCommands {
    /** Starts a rollout to a target, or corrects the size of the rollout that has this target. */
    startRollout(model: string, target: RolloutTarget, revision: bigint, size: number): Promise<boolean>;
    /** Opens a step that gives an order to a sidecar. */
    openStep(rollout: ModelRollout, record: ProcessRecord, order: PlannedOrder): Promise<boolean>;
    /** Ends a step with the verdict of its evaluation. */
    endStep(step: OpenStep, verdict: Exclude<StepVerdict, { kind: "waiting"; }>): Promise<boolean>;
    /** Marks a rollout as done, when every backend server has reached the target. */
    finishRollout(rollout: ModelRollout): Promise<boolean>;
}

/**
 * Creates the rollout commands of a planner.
 * @param control - The client that commits the commands.
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

/** Creates the command that ends a step with a verdict. */
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
