/*
 * Plans rollouts on the leader: reads the targets of the configuration, opens steps in the replicated state, sends
 * their orders, and evaluates their progress. Everything that must survive a change of the leader is committed first,
 * so that the next leader continues from the same state.
 */
import { getErrorMessage } from "../../errors";
import { ProcessRecord, QueryKind, RolloutState } from "../../protocol";
import { RolloutTarget } from "../configuration";
import { chooseSidecar } from "./chooseSidecar";
import { createRolloutCommands } from "./createRolloutCommands";
import { createStepBackoff } from "./createStepBackoff";
import { createStepEvaluator } from "./createStepEvaluator";
import { defaultRolloutTiming } from "./defaultRolloutTiming";
import { getMinimumInService } from "./getMinimumInService";
import { getNextOrder } from "./getNextOrder";
import { groupSidecarsByModel } from "./groupSidecarsByModel";
import { isInService } from "./isInService";
import { isSameTarget } from "./isSameTarget";
import { ModelRollout } from "./ModelRollout";
import { OpenStep } from "./OpenStep";
import { RolloutPlanner } from "./RolloutPlanner";
import { RolloutPlannerOptions } from "./RolloutPlannerOptions";
import { RolloutTiming } from "./RolloutTiming";
import { StepVerdict } from "./StepVerdict";
import { toOrder } from "./toOrder";

const capacityFloorVerdict: StepVerdict = { kind: "lost", reason: "the capacity floor leaves no room" };
const begunStepResendFactor = 10;
const idleIntervalFactor = 4;

/**
 * Creates the rollout planner of one control member; it plans between its start and its stop.
 * @param options - The dependencies and timing of the planner.
 */
export function createRolloutPlanner(options: RolloutPlannerOptions): RolloutPlanner {
    const timing: RolloutTiming = { ...defaultRolloutTiming, ...options.timing };
    let stopping = new AbortController();
    let task: Promise<void> | undefined;
    return { start, stop };

    function start(): void {
        if (task === undefined) {
            stopping = new AbortController();
            task = runPlanning(options, timing, stopping.signal);
        }
    }

    async function stop(): Promise<void> {
        stopping.abort();
        await task;
        task = undefined;
    }
}

/** Plans until the signal is aborted, which happens when the member is no longer the leader. */
async function runPlanning(
    options: RolloutPlannerOptions,
    timing: RolloutTiming,
    signal: AbortSignal,
): Promise<void> {
    const { rollouts, directory, control, clock, logger } = options;
    const commands = createRolloutCommands(control);
    const backoff = createStepBackoff(clock, timing);
    const evaluator = createStepEvaluator(clock, timing);
    const lastSentMillisecondsByIndex = new Map<bigint, number>();
    const shortfallSinceMillisecondsByModel = new Map<string, number>();
    const canaryByModel = new Map<string, string>();
    let sidecarsByModel: ReadonlyMap<string, readonly ProcessRecord[]> | undefined;
    await waitForCommittedState();
    await clock.sleep(timing.registrationDelayMilliseconds, signal);
    while (!signal.aborted) {
        await tryPlanOnce();
        await clock.sleep(getPlanningDelayMilliseconds(), signal);
    }

    /** Waits until every command that earlier leaders committed is applied at this control member. */
    async function waitForCommittedState(): Promise<void> {
        while (!signal.aborted) {
            const outcome = await control.query(QueryKind.BARRIER, "", true);
            if (outcome.kind === "answered") {
                return;
            }
            await clock.sleep(timing.planningIntervalMilliseconds, signal);
        }
    }

    /** Gets the delay until the next planning round; longer while every rollout is done. */
    function getPlanningDelayMilliseconds(): number {
        const isIdle = rollouts.getRollouts().every(rollout => rollout.state === RolloutState.DONE);
        return timing.planningIntervalMilliseconds * (isIdle ? idleIntervalFactor : 1);
    }

    async function tryPlanOnce(): Promise<void> {
        try {
            await planOnce();
        }
        catch (error) {
            logger.error({ problem: getErrorMessage(error) }, "planning rollouts failed; retrying in the next round");
        }
    }

    async function planOnce(): Promise<void> {
        sidecarsByModel = undefined;
        const { revision, targets } = options.getTargets();
        for (const [model, target] of Object.entries(targets)) {
            await startOrResizeRollout(model, target, revision, getSidecars(model).length);
        }
        await endSteps();
        for (const [model, target] of Object.entries(targets)) {
            await openSteps(model, target);
        }
        sendOrders();
    }

    /** Gets the sidecars of a model from the directory, which is read again after each commit. */
    function getSidecars(model: string): readonly ProcessRecord[] {
        sidecarsByModel ??= groupSidecarsByModel(directory.getRecords());
        return sidecarsByModel.get(model) ?? [];
    }

    /** Waits for a commit and drops the cached sidecars, which may have changed meanwhile. */
    async function awaitCommit(commit: Promise<boolean>): Promise<boolean> {
        const isAccepted = await commit;
        sidecarsByModel = undefined;
        return isAccepted;
    }

    async function startOrResizeRollout(
        model: string,
        target: RolloutTarget,
        revision: bigint,
        count: number,
    ): Promise<void> {
        const rollout = rollouts.getRollout(model);
        const desired = { version: target.version, adapters: target.adapters ?? [], roles: target.roles ?? {} };
        if (rollout === undefined || !isSameTarget(rollout, desired)) {
            canaryByModel.delete(model);
            await awaitCommit(commands.startRollout(model, target, revision, count));
            return;
        }
        if (count > rollout.size || isShrinkDue(rollout, count)) {
            await awaitCommit(commands.startRollout(model, target, revision, count));
        }
    }

    /** Returns whether backend servers have been missing long enough to count no longer towards the size. */
    function isShrinkDue(rollout: ModelRollout, count: number): boolean {
        const { model, size } = rollout;
        if (count >= size) {
            shortfallSinceMillisecondsByModel.delete(model);
            return false;
        }
        const nowMilliseconds = clock.getMonotonicMilliseconds();
        const sinceMilliseconds = shortfallSinceMillisecondsByModel.get(model) ?? nowMilliseconds;
        shortfallSinceMillisecondsByModel.set(model, sinceMilliseconds);
        return nowMilliseconds - sinceMilliseconds >= timing.shrinkDelayMilliseconds;
    }

    async function endSteps(): Promise<void> {
        const openSteps = rollouts.getOpenSteps();
        evaluator.retainOpenSteps(openSteps);
        for (const step of openSteps) {
            const record = getSidecars(step.model).find(candidate => candidate.instanceId === step.companion);
            const evaluated = evaluator.evaluate(step, rollouts.getRollout(step.model), record);
            const verdict = evaluated.kind === "waiting" && !isWithinCapacityFloor(step)
                ? capacityFloorVerdict
                : evaluated;
            if (verdict.kind !== "waiting") {
                await awaitCommit(commands.endStep(step, verdict));
                logger.info({ companion: step.companion, version: step.version, verdict }, "ended a rollout step");
            }
        }
    }

    /** Returns whether a step that has not begun may still take its backend server out of service. */
    function isWithinCapacityFloor(step: OpenStep): boolean {
        const modelSidecars = getSidecars(step.model);
        const record = modelSidecars.find(candidate => candidate.instanceId === step.companion);
        if (step.beginCount > 0 || record === undefined || !isInService(record)) {
            return true;
        }
        const busySidecars = new Set(rollouts.getOpenSteps().map(open => open.companion));
        const inService =
            modelSidecars.filter(candidate => isInService(candidate) && !busySidecars.has(candidate.instanceId)).length;
        const size = Math.max(rollouts.getRollout(step.model)?.size ?? 0, modelSidecars.length);
        return inService >= getMinimumInService(size, options.getTargets().targets[step.model]?.capacityFloor);
    }

    async function openSteps(model: string, target: RolloutTarget): Promise<void> {
        let isOpening = true;
        while (isOpening && !signal.aborted) {
            isOpening = await openStep(model, target);
        }
    }

    /** Opens the next step of a model; returns false where none may be opened now. */
    async function openStep(model: string, target: RolloutTarget): Promise<boolean> {
        const rollout = rollouts.getRollout(model);
        if (rollout === undefined || !canOpenSteps(rollout)) {
            return false;
        }
        const busySidecars = new Set(rollouts.getOpenSteps().map(step => step.companion));
        const record = chooseSidecar({
            sidecars: getSidecars(model),
            size: rollout.size,
            capacityFloor: target.capacityFloor,
            canary: rollout.hasCanaryPassed ? undefined : canaryByModel.get(model),
            isBusy: candidate => busySidecars.has(candidate.instanceId) || isBackingOff(candidate, rollout),
            needsOrder: candidate => getNextOrder(candidate, rollout) !== undefined,
        });
        if (record === undefined) {
            await finishRolloutIfComplete(rollout, getSidecars(model));
            return false;
        }
        const order = getNextOrder(record, rollout)!;
        const isOpened = await awaitCommit(commands.openStep(rollout, record, order));
        if (isOpened) {
            canaryByModel.set(model, rollout.hasCanaryPassed ? "" : record.instanceId);
            backoff.recordAttempt(record.instanceId, getOrderKey(record, rollout));
            logger.info({ companion: record.instanceId, version: rollout.version, order }, "opened a rollout step");
        }
        return isOpened;
    }

    /** Returns whether a sidecar must not get its next order yet, since it got the same one recently. */
    function isBackingOff(record: ProcessRecord, rollout: ModelRollout): boolean {
        if (getNextOrder(record, rollout) === undefined) {
            backoff.reset(record.instanceId);
            return false;
        }
        return backoff.isBackingOff(record.instanceId, getOrderKey(record, rollout));
    }

    async function finishRolloutIfComplete(
        rollout: ModelRollout,
        modelSidecars: readonly ProcessRecord[],
    ): Promise<void> {
        const hasOpenStep = rollouts.getOpenSteps().some(step => step.model === rollout.model);
        const isComplete = modelSidecars.length > 0
            && modelSidecars.every(record => getNextOrder(record, rollout) === undefined);
        if (rollout.state === RolloutState.RUNNING && isComplete && !hasOpenStep) {
            await awaitCommit(commands.finishRollout(rollout));
        }
    }

    /** Sends the orders of open steps that are due, repeatedly until they are executed. */
    function sendOrders(): void {
        const openSteps = rollouts.getOpenSteps();
        const openIndexes = new Set(openSteps.map(step => step.number.index));
        [...lastSentMillisecondsByIndex.keys()].filter(index => !openIndexes.has(index)).forEach(index =>
            lastSentMillisecondsByIndex.delete(index)
        );
        openSteps.filter(isSendDue).forEach(step => {
            lastSentMillisecondsByIndex.set(step.number.index, clock.getMonotonicMilliseconds());
            options.sendOrder(toOrder(step));
        });
    }

    function isSendDue(step: OpenStep): boolean {
        const lastSentMilliseconds = lastSentMillisecondsByIndex.get(step.number.index);
        const intervalMilliseconds = timing.resendIntervalMilliseconds
            * (step.beginCount > 0 ? begunStepResendFactor : 1);
        const isDue = lastSentMilliseconds === undefined
            || clock.getMonotonicMilliseconds() - lastSentMilliseconds >= intervalMilliseconds;
        return isDue && !step.isObserved;
    }
}

/** Returns whether steps of a rollout may be opened. */
function canOpenSteps(rollout: ModelRollout): boolean {
    return rollout.state === RolloutState.RUNNING || rollout.state === RolloutState.DONE;
}

/** Gets text that identifies the next order of a sidecar, to recognise its repetition. */
function getOrderKey(record: ProcessRecord, rollout: ModelRollout): string {
    return JSON.stringify([rollout.revision.toString(), getNextOrder(record, rollout)]);
}
