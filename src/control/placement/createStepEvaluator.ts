/*
 * Judges open steps by what is committed, what sidecars say of themselves, and how long the leader has seen no
 * progress. All times are counted on the leader's own clock from when it first saw a state, so that a new leader only
 * ever waits longer.
 */
import { ProcessRecord, ProcessState, RolloutState } from "../../protocol";
import { Clock } from "../../runtime";
import { getNextOrder } from "./getNextOrder";
import { isLive } from "./isLive";
import { ModelRollout } from "./ModelRollout";
import { OpenStep } from "./OpenStep";
import { RolloutTiming } from "./RolloutTiming";
import { StepVerdict } from "./StepVerdict";

/** Judges open steps. */
interface StepEvaluator {
    /** Judges a step by its sidecar's record. */
    evaluate(step: OpenStep, rollout: ModelRollout | undefined, record: ProcessRecord | undefined): StepVerdict;
    /** Forgets the steps that have ended. */
    retainOpenSteps(openSteps: readonly OpenStep[]): void;
}

/** What the judge remembers of a step. */
interface StepObservation {
    /** The state that the step was last seen in. */
    phase: string;
    /** Since when the step has been in that state. */
    sinceMilliseconds: number;
    /** Since when the canary has been healthy, and at which incarnation of its backend server. */
    healthy: { sinceMilliseconds: number; backendIncarnation: string; } | undefined;
}

const waitingVerdict: StepVerdict = { kind: "waiting" };

/**
 * Creates the judge.
 * @param clock - The passing of time.
 * @param timing - How long steps may take.
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

    /** Judges a step that has not begun. Ending it is always safe, since it can't begin afterwards. */
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

/** Tells whether a record shows what a step ordered. */
function hasOrderTakenEffect(step: OpenStep, record: ProcessRecord): boolean {
    const isServing = record.state === ProcessState.READY && record.version === step.version;
    const hasAdapter = step.adapter === "" || record.adapters.includes(step.adapter);
    const hasRole = step.role === "" || record.engineRole === step.role;
    return isServing && hasAdapter && hasRole;
}
