/*
 * Evaluates open steps by the committed state, the directory records of sidecars, and the time without progress. Times
 * are measured on the clock of the leader from when it first observed a state, so that a new leader can only wait
 * longer, never shorter.
 */
import { ProcessRecord, ProcessState, RolloutState } from "../../protocol";
import { Clock } from "../../runtime";
import { getNextOrder } from "./getNextOrder";
import { isLive } from "./isLive";
import { ModelRollout } from "./ModelRollout";
import { OpenStep } from "./OpenStep";
import { RolloutTiming } from "./RolloutTiming";
import { StepVerdict } from "./StepVerdict";

/** Evaluates open steps. */
interface StepEvaluator {
    /** Evaluates a step by the record of its sidecar, which is undefined where the sidecar is not live. */
    evaluate(step: OpenStep, rollout: ModelRollout | undefined, record: ProcessRecord | undefined): StepVerdict;
    /** Discards the observations of all steps but the given ones. */
    retainOpenSteps(openSteps: readonly OpenStep[]): void;
}

/** What the evaluator has observed of a step. */
interface StepObservation {
    /** The phase of the step when it was last evaluated. */
    phase: string;
    /** When the step was first observed in that phase, in milliseconds of the monotonic clock. */
    sinceMilliseconds: number;
    /** When the canary was first observed at the target, and the incarnation of its backend server then. */
    healthy: { sinceMilliseconds: number; backendIncarnation: string; } | undefined;
}

const waitingVerdict: StepVerdict = { kind: "waiting" };

/**
 * Creates an evaluator without observations.
 * @param clock - The clock that deadlines are measured on.
 * @param timing - The deadlines of steps.
 */
export function createStepEvaluator(clock: Clock, timing: RolloutTiming): StepEvaluator {
    const observations = new Map<bigint, StepObservation>();
    return { evaluate, retainOpenSteps };

    function evaluate(
        step: OpenStep,
        rollout: ModelRollout | undefined,
        record: ProcessRecord | undefined,
    ): StepVerdict {
        const observation = getObservation(step);
        const elapsedMilliseconds = clock.getMonotonicMilliseconds() - observation.sinceMilliseconds;
        if (step.isObserved) {
            return evaluateCanary(step, rollout, record, observation, elapsedMilliseconds);
        }
        if (step.beginCount > 0) {
            const isOver = elapsedMilliseconds > timing.loadDeadlineMilliseconds;
            return isOver ? { kind: "lost", reason: "the companion did not report in time" } : waitingVerdict;
        }
        return evaluateOrderedStep(step, rollout, record, elapsedMilliseconds);
    }

    /** Evaluates a step that has not begun. Ending it is always safe, since it can't begin afterwards. */
    function evaluateOrderedStep(
        step: OpenStep,
        rollout: ModelRollout | undefined,
        record: ProcessRecord | undefined,
        elapsedMilliseconds: number,
    ): StepVerdict {
        if (rollout?.revision !== step.revision) {
            return { kind: "lost", reason: "another target is wanted" };
        }
        if (rollout.state !== RolloutState.RUNNING) {
            return { kind: "lost", reason: "the rollout takes no steps" };
        }
        if (!isLive(record) || record.incarnation !== step.companionIncarnation) {
            return { kind: "lost", reason: "the companion has gone" };
        }
        const isOver = elapsedMilliseconds > timing.beginDeadlineMilliseconds;
        return isOver ? { kind: "lost", reason: "the companion did not begin in time" } : waitingVerdict;
    }

    function evaluateCanary(
        step: OpenStep,
        rollout: ModelRollout | undefined,
        record: ProcessRecord | undefined,
        observation: StepObservation,
        elapsedMilliseconds: number,
    ): StepVerdict {
        if (rollout?.revision !== step.revision) {
            return { kind: "lost", reason: "another target is wanted" };
        }
        if (!isLive(record) || record.incarnation !== step.beginIncarnation) {
            return { kind: "lost", reason: "the canary's companion has gone" };
        }
        if (observation.healthy !== undefined) {
            return evaluateCanaryHealth(record, rollout, observation.healthy);
        }
        if (hasOrderTakenEffect(step, record)) {
            return startHealthObservation(record, rollout, observation);
        }
        const isOver = elapsedMilliseconds > timing.recordDeadlineMilliseconds;
        return isOver ? { kind: "failed", reason: "the canary does not show what it was ordered" } : waitingVerdict;
    }

    function startHealthObservation(
        record: ProcessRecord,
        rollout: ModelRollout,
        observation: StepObservation,
    ): StepVerdict {
        if (getNextOrder(record, rollout) !== undefined) {
            return { kind: "passed", isPartial: true };
        }
        const { backendIncarnation } = record;
        observation.healthy = { sinceMilliseconds: clock.getMonotonicMilliseconds(), backendIncarnation };
        return waitingVerdict;
    }

    function evaluateCanaryHealth(
        record: ProcessRecord,
        rollout: ModelRollout,
        healthy: NonNullable<StepObservation["healthy"]>,
    ): StepVerdict {
        const isHealthy = record.state === ProcessState.READY
            && record.backendIncarnation === healthy.backendIncarnation
            && getNextOrder(record, rollout) === undefined;
        if (!isHealthy) {
            return { kind: "failed", reason: "the canary did not stay healthy" };
        }
        const elapsedMilliseconds = clock.getMonotonicMilliseconds() - healthy.sinceMilliseconds;
        return elapsedMilliseconds >= timing.observationMilliseconds
            ? { kind: "passed", isPartial: false }
            : waitingVerdict;
    }

    function getObservation(step: OpenStep): StepObservation {
        const phase = `${step.beginCount} ${step.isObserved}`;
        const previous = observations.get(step.number.index);
        if (previous?.phase === phase) {
            return previous;
        }
        const observation: StepObservation = {
            phase,
            sinceMilliseconds: clock.getMonotonicMilliseconds(),
            healthy: undefined,
        };
        observations.set(step.number.index, observation);
        return observation;
    }

    function retainOpenSteps(openSteps: readonly OpenStep[]): void {
        const open = new Set(openSteps.map(step => step.number.index));
        for (const index of observations.keys()) {
            if (!open.has(index)) {
                observations.delete(index);
            }
        }
    }
}

/** Returns whether the record of a sidecar shows the result of a step's order. */
function hasOrderTakenEffect(step: OpenStep, record: ProcessRecord): boolean {
    const isServing = record.state === ProcessState.READY && record.version === step.version;
    const hasAdapter = step.adapter === "" || record.adapters.includes(step.adapter);
    const hasRole = step.role === "" || record.engineRole === step.role;
    return isServing && hasAdapter && hasRole;
}
