/*
 * Plans rollouts at the leader: reads what the configuration wants, opens one step after another in the replicated
 * state, sends their orders, and judges what becomes of them. Everything that must outlive the leader is committed
 * first, so that the next leader goes on from the same place.
 */
import { getErrorMessage } from "../../errors";
import { ProcessRecord, QueryKind, RolloutState } from "../../protocol";
import { RolloutTarget } from "../configuration";
import { chooseSidecar } from "./chooseSidecar";
import { createRolloutCommands } from "./createRolloutCommands";
import { createStepJudge } from "./createStepJudge";
import { createStepMemory } from "./createStepMemory";
import { defaultRolloutTiming } from "./defaultRolloutTiming";
import { getLeastInService } from "./getLeastInService";
import { getNextOrder } from "./getNextOrder";
import { groupSidecars } from "./groupSidecars";
import { isInService } from "./isInService";
import { isSameTarget } from "./isSameTarget";
import { ModelRollout } from "./ModelRollout";
import { OpenStep } from "./OpenStep";
import { RolloutPlanner } from "./RolloutPlanner";
import { RolloutPlannerOptions } from "./RolloutPlannerOptions";
import { RolloutTiming } from "./RolloutTiming";
import { StepVerdict } from "./StepVerdict";
import { toOrder } from "./toOrder";

const noRoom: StepVerdict = { kind: "lost", reason: "the capacity floor leaves no room" };
const begunResendFactor = 10;
const idleIntervalFactor = 4;

/**
 * Creates the planner of one control member; it plans between its start and its stop.
 * @param options - What the planner works with.
 */
export function createRolloutPlanner(options: RolloutPlannerOptions): RolloutPlanner {
    const timing: RolloutTiming = { ...defaultRolloutTiming, ...options.timing };
    let stopping = new AbortController();
    let task: Promise<void> | undefined;
    return { start, stop };

    function start(): void {
        if (task === undefined) {
            stopping = new AbortController();
            task = planWhileLeading(options, timing, stopping.signal);
        }
    }

    async function stop(): Promise<void> {
        stopping.abort();
        await task;
        task = undefined;
    }
}

/** Plans until the member no longer leads. */
async function planWhileLeading(
    options: RolloutPlannerOptions,
    timing: RolloutTiming,
    signal: AbortSignal,
): Promise<void> {
    const { rollouts, directory, control, clock, logger } = options;
    const commands = createRolloutCommands(control);
    const memory = createStepMemory(clock, timing);
    const judge = createStepJudge(clock, timing);
    const sentMilliseconds = new Map<bigint, number>();
    const missingSinceMilliseconds = new Map<string, number>();
    const canaries = new Map<string, string>();
    let sidecars: ReadonlyMap<string, readonly ProcessRecord[]> | undefined;
    await waitForState();
    await clock.sleep(timing.settleMilliseconds, signal);
    while (!signal.aborted) {
        await planOnceSafely();
        await clock.sleep(getPause(), signal);
    }

    /** Waits until all that earlier leaders committed is applied here. */
    async function waitForState(): Promise<void> {
        while (!signal.aborted) {
            const outcome = await control.query(QueryKind.BARRIER, "", true);
            if (outcome.kind === "answered") {
                return;
            }
            await clock.sleep(timing.intervalMilliseconds, signal);
        }
    }

    /** Gets how long nothing is looked at; longer while all is in place. */
    function getPause(): number {
        const isIdle = rollouts.getRollouts().every(rollout => rollout.state === RolloutState.DONE);
        return timing.intervalMilliseconds * (isIdle ? idleIntervalFactor : 1);
    }

    async function planOnceSafely(): Promise<void> {
        try {
            await planOnce();
        }
        catch (error) {
            logger.error({ problem: getErrorMessage(error) }, "planning rollouts failed; it is tried again");
        }
    }

    async function planOnce(): Promise<void> {
        sidecars = undefined;
        const { revision, targets } = options.getTargets();
        for (const [model, target] of Object.entries(targets)) {
            await startRollout(model, target, revision, getSidecars(model).length);
        }
        await endSteps();
        for (const [model, target] of Object.entries(targets)) {
            await openSteps(model, target);
        }
        sendOrders();
    }

    /** Gets a model's sidecars as the directory shows them, read again after each wait for a commit. */
    function getSidecars(model: string): readonly ProcessRecord[] {
        sidecars ??= groupSidecars(directory.getRecords());
        return sidecars.get(model) ?? [];
    }

    /** Waits for a commit, after which the sidecars are to be looked at afresh. */
    async function wait(commit: Promise<boolean>): Promise<boolean> {
        const isAccepted = await commit;
        sidecars = undefined;
        return isAccepted;
    }

    async function startRollout(model: string, target: RolloutTarget, revision: bigint, count: number): Promise<void> {
        const rollout = rollouts.getRollout(model);
        const wanted = { version: target.version, adapters: target.adapters ?? [], roles: target.roles ?? {} };
        if (rollout === undefined || !isSameTarget(rollout, wanted)) {
            canaries.delete(model);
            await wait(commands.start(model, target, revision, count));
            return;
        }
        if (count > rollout.size || isSizeOutdated(rollout, count)) {
            await wait(commands.start(model, target, revision, count));
        }
    }

    /** Tells whether backend servers have been missing so long that they no longer count. */
    function isSizeOutdated(rollout: ModelRollout, count: number): boolean {
        const { model, size } = rollout;
        if (count >= size) {
            missingSinceMilliseconds.delete(model);
            return false;
        }
        const now = clock.getMonotonicMilliseconds();
        const since = missingSinceMilliseconds.get(model) ?? now;
        missingSinceMilliseconds.set(model, since);
        return now - since >= timing.shrinkMilliseconds;
    }

    async function endSteps(): Promise<void> {
        const openSteps = rollouts.getOpenSteps();
        judge.retain(openSteps);
        for (const step of openSteps) {
            const record = getSidecars(step.model).find(candidate => candidate.instanceId === step.companion);
            const judged = judge.judge(step, rollouts.getRollout(step.model), record);
            const verdict = judged.kind === "waiting" && !hasRoom(step) ? noRoom : judged;
            if (verdict.kind !== "waiting") {
                await wait(commands.end(step, verdict));
                logger.info({ companion: step.companion, version: step.version, verdict }, "judged a rollout step");
            }
        }
    }

    /** Tells whether the floor still leaves room for a step that has not begun. */
    function hasRoom(step: OpenStep): boolean {
        const group = getSidecars(step.model);
        const record = group.find(candidate => candidate.instanceId === step.companion);
        if (step.beginCount > 0 || record === undefined || !isInService(record)) {
            return true;
        }
        const busy = new Set(rollouts.getOpenSteps().map(open => open.companion));
        const inService = group.filter(candidate => isInService(candidate) && !busy.has(candidate.instanceId)).length;
        const size = Math.max(rollouts.getRollout(step.model)?.size ?? 0, group.length);
        return inService >= getLeastInService(size, options.getTargets().targets[step.model]?.capacityFloor);
    }

    async function openSteps(model: string, target: RolloutTarget): Promise<void> {
        let isOpening = true;
        while (isOpening && !signal.aborted) {
            isOpening = await openStep(model, target);
        }
    }

    /** Opens the next step of a model; false where none may be opened now. */
    async function openStep(model: string, target: RolloutTarget): Promise<boolean> {
        const rollout = rollouts.getRollout(model);
        if (rollout === undefined || !isTakingSteps(rollout)) {
            return false;
        }
        const busy = new Set(rollouts.getOpenSteps().map(step => step.companion));
        const record = chooseSidecar({
            sidecars: getSidecars(model),
            size: rollout.size,
            capacityFloor: target.capacityFloor,
            canary: rollout.hasCanaryPassed ? undefined : canaries.get(model),
            isBusy: candidate => busy.has(candidate.instanceId) || isWaiting(candidate, rollout),
            needsOrder: candidate => getNextOrder(candidate, rollout) !== undefined,
        });
        if (record === undefined) {
            await finishRollout(rollout, getSidecars(model));
            return false;
        }
        const order = getNextOrder(record, rollout)!;
        const isOpened = await wait(commands.open(rollout, record, order));
        if (isOpened) {
            canaries.set(model, rollout.hasCanaryPassed ? "" : record.instanceId);
            memory.addAttempt(record.instanceId, getOrderText(record, rollout));
            logger.info({ companion: record.instanceId, version: rollout.version, order }, "opened a rollout step");
        }
        return isOpened;
    }

    /** Tells whether a sidecar was given its next order just now. */
    function isWaiting(record: ProcessRecord, rollout: ModelRollout): boolean {
        if (getNextOrder(record, rollout) === undefined) {
            memory.removeAttempts(record.instanceId);
            return false;
        }
        return memory.isWaiting(record.instanceId, getOrderText(record, rollout));
    }

    async function finishRollout(rollout: ModelRollout, group: readonly ProcessRecord[]): Promise<void> {
        const hasOpenStep = rollouts.getOpenSteps().some(step => step.model === rollout.model);
        const isComplete = group.length > 0
            && group.every(record => getNextOrder(record, rollout) === undefined);
        if (rollout.state === RolloutState.RUNNING && isComplete && !hasOpenStep) {
            await wait(commands.finish(rollout));
        }
    }

    /** Sends the orders of open steps, again and again until their sidecars have carried them out. */
    function sendOrders(): void {
        const openSteps = rollouts.getOpenSteps();
        const open = new Set(openSteps.map(step => step.number.index));
        [...sentMilliseconds.keys()].filter(index => !open.has(index)).forEach(index => sentMilliseconds.delete(index));
        openSteps.filter(isSendDue).forEach(step => {
            sentMilliseconds.set(step.number.index, clock.getMonotonicMilliseconds());
            options.sendOrder(toOrder(step));
        });
    }

    function isSendDue(step: OpenStep): boolean {
        const sent = sentMilliseconds.get(step.number.index);
        const pause = timing.resendMilliseconds * (step.beginCount > 0 ? begunResendFactor : 1);
        const isDue = sent === undefined || clock.getMonotonicMilliseconds() - sent >= pause;
        return isDue && !step.isObserved;
    }
}

/** Tells whether a rollout may open steps. */
function isTakingSteps(rollout: ModelRollout): boolean {
    return rollout.state === RolloutState.RUNNING || rollout.state === RolloutState.DONE;
}

/** Writes an order as text, to recognise a repeated one. */
function getOrderText(record: ProcessRecord, rollout: ModelRollout): string {
    return JSON.stringify([rollout.revision.toString(), getNextOrder(record, rollout)]);
}
