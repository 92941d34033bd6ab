/*
 * Applies the command that ends a rollout step.
 */
import { RolloutState, RolloutStep } from "../../protocol";
import { ApplyContext } from "../consensus";
import { EventHistory } from "../EventHistory";
import { EventKind } from "../EventKind";
import { ModelRollout } from "./ModelRollout";
import { OpenStep } from "./OpenStep";
import { RolloutPartState } from "./RolloutPartState";

const maximumConsecutiveFailures = 3;

/**
 * Ends a step, or puts it under observation where it is the canary's and its order was executed.
 * @param state - The state of all rollouts, which is changed.
 * @param history - The event history that operators read.
 * @param end - How the step ended.
 * @param context - The place of the command in the log.
 * @returns Why the command is refused; undefined where it is applied.
 */
export function endStep(
    state: RolloutPartState,
    history: EventHistory,
    end: RolloutStep,
    context: ApplyContext,
): string | undefined {
    const step = state.openSteps.get(end.companion);
    if (step === undefined || step.number.index !== end.number?.index) {
        return "the step is not open";
    }
    const rollout = state.rollouts.get(step.model);
    const isCurrent = rollout !== undefined && rollout.revision === step.revision;
    const isCanary = isCurrent && !rollout.hasCanaryPassed;
    if (isCanary && end.succeeded && !end.observed) {
        state.openSteps.set(step.companion, { ...step, isObserved: true });
        return undefined;
    }
    state.openSteps.delete(step.companion);
    addUnsuccessfulEndEvent(history, step, end, context);
    if (isCurrent) {
        state.rollouts.set(step.model, getUpdatedRollout(rollout, end, history, context));
    }
    return undefined;
}

/** Gets the state of a rollout after one of its steps has ended. */
function getUpdatedRollout(
    rollout: ModelRollout,
    end: RolloutStep,
    history: EventHistory,
    context: ApplyContext,
): ModelRollout {
    if (end.succeeded) {
        const hasCanaryPassed = rollout.hasCanaryPassed || !end.partial;
        if (hasCanaryPassed && !rollout.hasCanaryPassed) {
            history.addEvent(context, EventKind.RolloutCanaryPassed, rollout.model, `${end.companion} is healthy`);
        }
        return { ...rollout, hasCanaryPassed, succeededSteps: rollout.succeededSteps + 1, consecutiveFailures: 0 };
    }
    if (end.lost) {
        return rollout;
    }
    const consecutiveFailures = rollout.consecutiveFailures + 1;
    const updated = { ...rollout, failedSteps: rollout.failedSteps + 1, consecutiveFailures };
    if (rollout.hasCanaryPassed && consecutiveFailures < maximumConsecutiveFailures) {
        return updated;
    }
    const reason = `${end.companion}: ${end.reason}`;
    history.addEvent(context, EventKind.RolloutFailed, rollout.model, reason);
    return { ...updated, state: RolloutState.FAILED, author: "basilwing", reason };
}

/** Adds the event of a step that was lost or failed. */
function addUnsuccessfulEndEvent(history: EventHistory, step: OpenStep, end: RolloutStep, context: ApplyContext): void {
    if (end.succeeded) {
        return;
    }
    const kind = end.lost ? EventKind.RolloutStepLost : EventKind.RolloutStepFailed;
    history.addEvent(context, kind, step.companion, `${step.model} ${step.version}: ${end.reason}`);
}
