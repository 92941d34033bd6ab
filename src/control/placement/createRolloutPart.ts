/*
 * The part of the replicated state that holds rollouts: their targets, the steps towards them, and their events. A step
 * is committed as open before its order is sent, as begun before its sidecar passes the order on to the backend server,
 * and as ended before another step may be opened for the sidecar.
 */
import { create } from "@bufbuild/protobuf";
import {
    Command,
    CommandResult,
    FencingNumberSchema,
    QueryKind,
    RolloutControl,
    RolloutResultSchema,
    RolloutStart,
    RolloutState,
    RolloutStep,
} from "../../protocol";
import { ApplyContext } from "../consensus";
import { createEventHistory } from "../createEventHistory";
import { EventKind } from "../EventKind";
import { decodeRolloutSnapshot } from "./decodeRolloutSnapshot";
import { encodeRolloutSnapshot } from "./encodeRolloutSnapshot";
import { endStep } from "./endStep";
import { getOpenStepRefusal } from "./getOpenStepRefusal";
import { getOrdersResponse } from "./getOrdersResponse";
import { getRolloutsResponse } from "./getRolloutsResponse";
import { isSameTarget } from "./isSameTarget";
import { ModelRollout } from "./ModelRollout";
import { RolloutPart } from "./RolloutPart";

const maximumRetainedEvents = 500;
const systemAuthor = "basilwing";

/** Creates the rollout part of an empty group of control members. */
export function createRolloutPart(): RolloutPart {
    let { state } = decodeRolloutSnapshot(new Uint8Array());
    const eventHistory = createEventHistory(maximumRetainedEvents);
    return {
        name: "rollouts",
        apply,
        query,
        takeSnapshot: () => encodeRolloutSnapshot(state, eventHistory.getEvents()),
        restoreSnapshot,
        getRollouts: () => [...state.rollouts.values()],
        getRollout: model => state.rollouts.get(model),
        getOpenSteps: () => [...state.openSteps.values()],
        getEvents: eventHistory.getEvents,
    };

    function apply(command: Command, context: ApplyContext): CommandResult["result"] | undefined {
        const variant = command.command;
        switch (variant.case) {
            case "rolloutStart":
                return createResult(context, applyStart(variant.value, context));
            case "rolloutStep":
                return variant.value.begun
                    ? applyBegin(variant.value, context)
                    : createResult(context, applyStep(variant.value, context));
            case "rolloutControl":
                return createResult(context, applyControl(variant.value, context));
            default:
                return undefined;
        }
    }

    function applyStart(start: RolloutStart, context: ApplyContext): string | undefined {
        const { model, version, adapters, roles, configurationRevision: revision, size } = start;
        const previous = state.rollouts.get(model);
        if (previous !== undefined && isSameTarget(previous, start)) {
            setRollout({ ...previous, size });
            return undefined;
        }
        if (previous !== undefined && revision <= previous.revision) {
            return "a newer target is in place";
        }
        const isPaused = previous?.state === RolloutState.PAUSED;
        setRollout({
            model,
            version,
            adapters: [...adapters],
            roles: { ...roles },
            revision,
            size,
            state: isPaused ? RolloutState.PAUSED : RolloutState.RUNNING,
            author: isPaused ? previous.author : systemAuthor,
            reason: isPaused ? previous.reason : "",
            hasCanaryPassed: false,
            succeededSteps: 0,
            failedSteps: 0,
            consecutiveFailures: 0,
        });
        const text = `version ${version} is wanted at ${size} backend servers, as of revision ${revision}`;
        eventHistory.addEvent(context, EventKind.RolloutStarted, model, text);
        return undefined;
    }

    function applyStep(step: RolloutStep, context: ApplyContext): string | undefined {
        if (step.ended) {
            return endStep(state, eventHistory, step, context);
        }
        return applyOpen(step, context);
    }

    function applyOpen(step: RolloutStep, context: ApplyContext): string | undefined {
        const refusal = getOpenStepRefusal(state, step);
        if (refusal !== undefined) {
            return refusal;
        }
        const { model, version, companion, companionIncarnation, kind, adapter, role } = step;
        const number = { term: context.term, index: context.index };
        state.lastNumber = number;
        state.openSteps.set(companion, {
            number,
            model,
            version,
            companion,
            companionIncarnation,
            kind,
            adapter,
            role,
            revision: step.configurationRevision,
            beginCount: 0,
            beginIncarnation: "",
            isObserved: false,
        });
        const rollout = state.rollouts.get(model)!;
        setRollout({ ...rollout, state: RolloutState.RUNNING });
        return undefined;
    }

    /** Begins a step. The reason of an accepted result shows whether the step had been begun before. */
    function applyBegin(step: RolloutStep, context: ApplyContext): CommandResult["result"] {
        const openStep = state.openSteps.get(step.companion);
        if (openStep === undefined || openStep.number.index !== step.number?.index || openStep.isObserved) {
            return createResult(context, "the step is not open");
        }
        const beginIncarnation = step.companionIncarnation;
        state.openSteps.set(step.companion, { ...openStep, beginCount: openStep.beginCount + 1, beginIncarnation });
        return createResult(context, undefined, openStep.beginCount > 0 ? "begun before" : "");
    }

    function applyControl(control: RolloutControl, context: ApplyContext): string | undefined {
        const rollout = state.rollouts.get(control.model);
        if (rollout === undefined) {
            return "the model has no rollout";
        }
        switch (control.state) {
            case RolloutState.PAUSED:
            case RolloutState.RUNNING:
                setRollout({ ...rollout, ...getControlledFields(control), consecutiveFailures: 0 });
                addControlEvent(control, context);
                return undefined;
            case RolloutState.DONE:
                return applyDone(rollout, control, context);
            default:
                return "the state can't be asked for";
        }
    }

    function applyDone(rollout: ModelRollout, control: RolloutControl, context: ApplyContext): string | undefined {
        const hasOpenStep = [...state.openSteps.values()].some(step => step.model === rollout.model);
        const isCurrent = rollout.revision === control.configurationRevision;
        if (!isCurrent || hasOpenStep || rollout.state !== RolloutState.RUNNING) {
            return "the rollout is not at its end";
        }
        setRollout({ ...rollout, ...getControlledFields(control) });
        eventHistory.addEvent(context, EventKind.RolloutDone, rollout.model, `version ${rollout.version} is in place`);
        return undefined;
    }

    function addControlEvent(control: RolloutControl, context: ApplyContext): void {
        const isPause = control.state === RolloutState.PAUSED;
        const kind = isPause ? EventKind.RolloutPaused : EventKind.RolloutResumed;
        eventHistory.addEvent(context, kind, control.model, `${isPause ? "paused" : "resumed"} by ${control.author}`);
    }

    function setRollout(rollout: ModelRollout): void {
        state.rollouts.set(rollout.model, rollout);
    }

    function query(kind: QueryKind, argument: string): unknown {
        switch (kind) {
            case QueryKind.ROLLOUTS:
                return getRolloutsResponse(state);
            case QueryKind.ORDERS:
                return getOrdersResponse(state, argument);
            default:
                return undefined;
        }
    }

    function restoreSnapshot(snapshot: Uint8Array): void {
        const decoded = decodeRolloutSnapshot(snapshot);
        state = decoded.state;
        eventHistory.replaceEvents(decoded.events);
    }
}

/** Gets the fields of a rollout that a control command sets. */
function getControlledFields(control: RolloutControl): Pick<ModelRollout, "state" | "author" | "reason"> {
    return { state: control.state, author: control.author || systemAuthor, reason: control.reason };
}

/** Creates the result of a command: refused with a reason, or accepted, optionally with a reason. */
function createResult(
    context: ApplyContext,
    refusal: string | undefined,
    acceptedReason = "",
): CommandResult["result"] {
    const number = create(FencingNumberSchema, { term: context.term, index: context.index });
    const value = create(RolloutResultSchema, {
        number,
        accepted: refusal === undefined,
        reason: refusal ?? acceptedReason,
    });
    return { case: "rollout", value };
}
