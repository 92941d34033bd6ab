/*
 * The rollouts' part of the replicated state: targets, the steps towards them, and their events. A step is opened here
 * before its order leaves, its sidecar begins it here before it gives the order to its backend server, and it ends
 * here before another may take its place.
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
import { decodePlacement } from "./decodePlacement";
import { encodePlacement } from "./encodePlacement";
import { endStep } from "./endStep";
import { getOpenProblem } from "./getOpenProblem";
import { getOrdersAnswer } from "./getOrdersAnswer";
import { getRolloutsAnswer } from "./getRolloutsAnswer";
import { isSameTarget } from "./isSameTarget";
import { ModelRollout } from "./ModelRollout";
import { RolloutPart } from "./RolloutPart";

const maximumEvents = 500;
const systemAuthor = "basilwing";

/** Creates the rollouts' part of the replicated state. */
export function createRolloutPart(): RolloutPart {
    let { state } = decodePlacement(new Uint8Array());
    const history = createEventHistory(maximumEvents);
    return {
        name: "rollouts",
        apply,
        query,
        takeSnapshot: () => encodePlacement(state, history.getEvents()),
        restoreSnapshot,
        getRollouts: () => [...state.rollouts.values()],
        getRollout: model => state.rollouts.get(model),
        getOpenSteps: () => [...state.openSteps.values()],
        getEvents: history.getEvents,
    };

    function apply(command: Command, context: ApplyContext): CommandResult["result"] | undefined {
        const variant = command.command;
        switch (variant.case) {
            case "rolloutStart":
                return getResult(context, applyStart(variant.value, context));
            case "rolloutStep":
                return variant.value.begun
                    ? applyBegin(variant.value, context)
                    : getResult(context, applyStep(variant.value, context));
            case "rolloutControl":
                return getResult(context, applyControl(variant.value, context));
            default:
                return undefined;
        }
    }

    function applyStart(start: RolloutStart, context: ApplyContext): string | undefined {
        const { model, version, adapters, roles, configurationRevision: revision, size } = start;
        const former = state.rollouts.get(model);
        if (former !== undefined && isSameTarget(former, start)) {
            setRollout({ ...former, size });
            return undefined;
        }
        if (former !== undefined && revision <= former.revision) {
            return "a newer target is in place";
        }
        const isPaused = former?.state === RolloutState.PAUSED;
        setRollout({
            model,
            version,
            adapters: [...adapters],
            roles: { ...roles },
            revision,
            size,
            state: isPaused ? RolloutState.PAUSED : RolloutState.RUNNING,
            author: isPaused ? former.author : systemAuthor,
            reason: isPaused ? former.reason : "",
            hasCanaryPassed: false,
            succeededSteps: 0,
            failedSteps: 0,
            consecutiveFailures: 0,
        });
        const text = `version ${version} is wanted at ${size} backend servers, as of revision ${revision}`;
        history.addEvent(context, EventKind.RolloutStarted, model, text);
        return undefined;
    }

    function applyStep(step: RolloutStep, context: ApplyContext): string | undefined {
        if (step.ended) {
            return endStep(state, history, step, context);
        }
        return applyOpen(step, context);
    }

    function applyOpen(step: RolloutStep, context: ApplyContext): string | undefined {
        const problem = getOpenProblem(state, step);
        if (problem !== undefined) {
            return problem;
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

    /** Begins a step, and tells in the reason of an accepted result whether it was begun before. */
    function applyBegin(step: RolloutStep, context: ApplyContext): CommandResult["result"] {
        const open = state.openSteps.get(step.companion);
        if (open === undefined || open.number.index !== step.number?.index || open.isObserved) {
            return getResult(context, "the step is not open");
        }
        const beginIncarnation = step.companionIncarnation;
        state.openSteps.set(step.companion, { ...open, beginCount: open.beginCount + 1, beginIncarnation });
        return getResult(context, undefined, open.beginCount > 0 ? "begun before" : "");
    }

    function applyControl(control: RolloutControl, context: ApplyContext): string | undefined {
        const rollout = state.rollouts.get(control.model);
        if (rollout === undefined) {
            return "the model has no rollout";
        }
        switch (control.state) {
            case RolloutState.PAUSED:
            case RolloutState.RUNNING:
                setRollout({ ...rollout, ...pick(control), consecutiveFailures: 0 });
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
        setRollout({ ...rollout, ...pick(control) });
        history.addEvent(context, EventKind.RolloutDone, rollout.model, `version ${rollout.version} is in place`);
        return undefined;
    }

    function addControlEvent(control: RolloutControl, context: ApplyContext): void {
        const isPause = control.state === RolloutState.PAUSED;
        const kind = isPause ? EventKind.RolloutPaused : EventKind.RolloutResumed;
        history.addEvent(context, kind, control.model, `${isPause ? "paused" : "resumed"} by ${control.author}`);
    }

    function setRollout(rollout: ModelRollout): void {
        state.rollouts.set(rollout.model, rollout);
    }

    function query(kind: QueryKind, argument: string): unknown {
        switch (kind) {
            case QueryKind.ROLLOUTS:
                return getRolloutsAnswer(state);
            case QueryKind.ORDERS:
                return getOrdersAnswer(state, argument);
            default:
                return undefined;
        }
    }

    function restoreSnapshot(snapshot: Uint8Array): void {
        const decoded = decodePlacement(snapshot);
        state = decoded.state;
        history.setEvents(decoded.events);
    }
}

/** Picks what a control command sets. */
function pick(control: RolloutControl): Pick<ModelRollout, "state" | "author" | "reason"> {
    return { state: control.state, author: control.author || systemAuthor, reason: control.reason };
}

/** Creates the result of a command from its problem, or from a note on what was accepted. */
function getResult(context: ApplyContext, problem: string | undefined, note = ""): CommandResult["result"] {
    const number = create(FencingNumberSchema, { term: context.term, index: context.index });
    const value = create(RolloutResultSchema, { number, accepted: problem === undefined, reason: problem ?? note });
    return { case: "rollout", value };
}
