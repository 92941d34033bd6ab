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
interface StepJudge {
    /** Judges a step by its sidecar's record. */
    judge(step: OpenStep, rollout: ModelRollout | undefined, record: ProcessRecord | undefined): StepVerdict;
    /** Forgets the steps that have ended. */
    retain(openSteps: readonly OpenStep[]): void;
}

/** What the judge remembers of a step. */
interface Sight {
    /** The state that the step was last seen in. */
    phase: string;
    /** Since when the step has been in that state. */
    sinceMilliseconds: number;
    /** Since when the canary has been healthy, and at which incarnation of its backend server. */
    healthy: { sinceMilliseconds: number; backendIncarnation: string; } | undefined;
}

const waiting: StepVerdict = { kind: "waiting" };

/**
 * Creates the judge.
 * @param clock - The passing of time.
 * @param timing - How long steps may take.
 */
export function createStepJudge(clock: Clock, timing: RolloutTiming): StepJudge {
    const sights = new Map<bigint, Sight>();
    return { judge, retain };

    function judge(step: OpenStep, rollout: ModelRollout | undefined, record: ProcessRecord | undefined): StepVerdict {
        const sight = getSight(step);
        const elapsed = clock.getMonotonicMilliseconds() - sight.sinceMilliseconds;
        if (step.isObserved) {
            return judgeCanary(step, rollout, record, sight, elapsed);
        }
        if (step.beginCount > 0) {
            const isOver = elapsed > timing.loadDeadlineMilliseconds;
            return isOver ? { kind: "lost", reason: "the companion did not report in time" } : waiting;
        }
        return judgeOrdered(step, rollout, record, elapsed);
    }

    /** Judges a step that has not begun. Ending it is always safe, since it can't begin afterwards. */
    function judgeOrdered(
        step: OpenStep,
        rollout: ModelRollout | undefined,
        record: ProcessRecord | undefined,
        elapsed: number,
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
        const isOver = elapsed > timing.beginDeadlineMilliseconds;
        return isOver ? { kind: "lost", reason: "the companion did not begin in time" } : waiting;
    }

    function judgeCanary(
        step: OpenStep,
        rollout: ModelRollout | undefined,
        record: ProcessRecord | undefined,
        sight: Sight,
        elapsed: number,
    ): StepVerdict {
        if (rollout?.revision !== step.revision) {
            return { kind: "lost", reason: "another target is wanted" };
        }
        if (!isLive(record) || record.incarnation !== step.beginIncarnation) {
            return { kind: "lost", reason: "the canary's companion has gone" };
        }
        if (sight.healthy !== undefined) {
            return judgeHealth(record, rollout, sight.healthy);
        }
        if (hasStepTaken(step, record)) {
            return addHealthySight(record, rollout, sight);
        }
        const isOver = elapsed > timing.recordDeadlineMilliseconds;
        return isOver ? { kind: "failed", reason: "the canary does not show what it was ordered" } : waiting;
    }

    function addHealthySight(record: ProcessRecord, rollout: ModelRollout, sight: Sight): StepVerdict {
        if (getNextOrder(record, rollout) !== undefined) {
            return { kind: "passed", isPartial: true };
        }
        const { backendIncarnation } = record;
        sight.healthy = { sinceMilliseconds: clock.getMonotonicMilliseconds(), backendIncarnation };
        return waiting;
    }

    function judgeHealth(
        record: ProcessRecord,
        rollout: ModelRollout,
        healthy: NonNullable<Sight["healthy"]>,
    ): StepVerdict {
        const isHealthy = record.state === ProcessState.READY
            && record.backendIncarnation === healthy.backendIncarnation
            && getNextOrder(record, rollout) === undefined;
        if (!isHealthy) {
            return { kind: "failed", reason: "the canary did not stay healthy" };
        }
        const elapsed = clock.getMonotonicMilliseconds() - healthy.sinceMilliseconds;
        return elapsed >= timing.observationMilliseconds ? { kind: "passed", isPartial: false } : waiting;
    }

    function getSight(step: OpenStep): Sight {
        const phase = `${step.beginCount} ${step.isObserved}`;
        const former = sights.get(step.number.index);
        if (former?.phase === phase) {
            return former;
        }
        const sight: Sight = { phase, sinceMilliseconds: clock.getMonotonicMilliseconds(), healthy: undefined };
        sights.set(step.number.index, sight);
        return sight;
    }

    function retain(openSteps: readonly OpenStep[]): void {
        const open = new Set(openSteps.map(step => step.number.index));
        for (const index of sights.keys()) {
            if (!open.has(index)) {
                sights.delete(index);
            }
        }
    }
}

/** Tells whether a record shows what a step ordered. */
function hasStepTaken(step: OpenStep, record: ProcessRecord): boolean {
    const isServing = record.state === ProcessState.READY && record.version === step.version;
    const hasAdapter = step.adapter === "" || record.adapters.includes(step.adapter);
    const hasRole = step.role === "" || record.engineRole === step.role;
    return isServing && hasAdapter && hasRole;
}
