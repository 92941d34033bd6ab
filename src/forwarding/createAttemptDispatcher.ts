/*
 * The attempts of a request. What was certainly not run may go to another backend server, whatever its kind; what may
 * have run goes again only where the route's kind, its bound on attempts and the shared budget of retries allow it.
 */
import { RouteKind } from "../documents";
import { assertNever } from "../errors";
import { getWeightsVersion } from "../fleet";
import { HistogramName, RetryReason } from "../metrics";
import { FleetInstance, RefusalReason } from "../protocol";
import { AttemptDispatcher } from "./AttemptDispatcher";
import { AttemptResult } from "./AttemptResult";
import { chooseLeastLoadedInstance } from "./chooseLeastLoadedInstance";
import { collectBody } from "./collectBody";
import { createEnginePlacement } from "./createEnginePlacement";
import { createLivenessMonitor } from "./createLivenessMonitor";
import { createLoadTracker } from "./createLoadTracker";
import { createPromptScheduler } from "./createPromptScheduler";
import { createRendezvousRanking } from "./createRendezvousRanking";
import { createRetryBudgets } from "./createRetryBudgets";
import { DispatchOutcome } from "./DispatchOutcome";
import { ForwarderOptions } from "./ForwarderOptions";
import { ForwardingTask } from "./ForwardingTask";
import { getAttemptParameters } from "./getAttemptParameters";
import { Refusal } from "./Refusal";

/** How many backend servers a request is offered to at most: more would delay a refusal that is due. */
const maximumTriedInstances = 4;
/** When a caller should come back whose request found no room, in milliseconds: a few requests' time. */
const overloadRetryAfterMilliseconds = 1_000;
/** The shortest rest of a request's time that is worth another attempt, in milliseconds. */
const minimumAttemptMilliseconds = 20;

/**
 * Creates the opener of an entry.
 * @param options - What the entry's forwarder is made of.
 */
export function createAttemptDispatcher(options: ForwarderOptions): AttemptDispatcher {
    const { state, link, dataCentre, clock, random, metrics } = options;
    const liveness = createLivenessMonitor({ link, clock, logger: options.logger, signal: options.signal });
    const loads = createLoadTracker(clock, liveness.isUnresponsive);
    const ranking = createRendezvousRanking();
    const placement = createEnginePlacement(loads, ranking, clock, options.supersededWeightsGraceMilliseconds);
    const scheduler = createPromptScheduler(placement, state, clock);
    const retryBudgets = createRetryBudgets(options.retryShare, options.retryReserve, state.getEntryCount);
    return {
        dispatch,
        recordPrefillEnd,
        recordAttemptEnd,
        canRunAgain,
    };

    async function dispatch(task: ForwardingTask, lastEventId: string | undefined): Promise<DispatchOutcome> {
        const { admission: { service }, request } = task;
        if (task.sentCount === 0) {
            retryBudgets.addFirstAttempt(service.name);
        }
        let retryAfterMilliseconds: number | undefined;
        while (true) {
            const refusal = getBlockingRefusal(task);
            if (refusal) {
                return { kind: "givenUp", refusal };
            }
            const instance = chooseInstance(task);
            if (!instance || task.triedInstanceIds.size >= maximumTriedInstances || !tryTakeAttempt(task)) {
                return { kind: "givenUp", refusal: getNoCapacityRefusal(task, retryAfterMilliseconds) };
            }
            if (await scheduler.waitForPrefill(task, instance)) {
                continue;
            }
            const result = await send(task, instance, lastEventId ?? request.lastEventId);
            const isFinal = recordResult(task, instance, result);
            if (result.kind === "answered" && isFinal) {
                return { kind: "opened", instance, response: result };
            }
            if (result.kind === "answered") {
                void collectBody(result.body);
            }
            if (isFinal) {
                return { kind: "givenUp", refusal: getFailureRefusal(task) };
            }
            if (result.kind === "notRun") {
                retryAfterMilliseconds = result.retryAfterMilliseconds;
            }
        }
    }

    /** Gets why nothing more may be sent now: the caller or the deadline, or rules that are too old. */
    function getBlockingRefusal(task: ForwardingTask): Refusal | undefined {
        if (task.signal.aborted || getRemainingMilliseconds(task) < minimumAttemptMilliseconds) {
            return getFailureRefusal(task);
        }
        const needsKey = task.admission.workspace !== undefined && !task.admission.route.isPublic;
        const isStale = needsKey && state.getDocumentAgeMilliseconds() > options.maximumDocumentAgeMilliseconds;
        return isStale ? getRefusal(task, RefusalReason.STALE_SETTINGS, overloadRetryAfterMilliseconds) : undefined;
    }

    /** Takes what another attempt costs; the first one is free. */
    function tryTakeAttempt(task: ForwardingTask): boolean {
        return task.sentCount === 0 || retryBudgets.tryTakeRetry(task.admission.service.name);
    }

    /** Chooses a backend server that was not tried. */
    function chooseInstance(task: ForwardingTask): FleetInstance | undefined {
        const { request: { prompt }, admission: { service }, triedInstanceIds } = task;
        const candidates = (state.getFleet()?.instances ?? []).filter(instance =>
            instance.service === service.name && !instance.isLeaving && !triedInstanceIds.has(instance.instanceId)
        );
        if (service.kind === "engine" && prompt) {
            return scheduler.choose(task, candidates);
        }
        return chooseLeastLoadedInstance(candidates, loads, dataCentre, random);
    }

    async function send(
        task: ForwardingTask,
        instance: FleetInstance,
        lastEventId: string | undefined,
    ): Promise<AttemptResult> {
        const { instanceId } = instance;
        task.triedInstanceIds.add(instanceId);
        task.sentCount += 1;
        const parameters = getAttemptParameters(task, instance, {
            entryCount: state.getEntryCount(),
            sources: scheduler.startPrefill(task, instance),
            kvCacheStores: options.kvCacheStores,
            ranking,
        });
        task.placement = {
            instanceId,
            requestCount: loads.getRequestCount(instanceId),
            unreadTokens: loads.getPendingPrefillTokens(instanceId),
            fetchAddress: parameters.fetchAddress,
            saveAddress: parameters.saveAddress,
        };
        loads.recordSent(instanceId, getPromptTokens(task));
        liveness.recordSent(instance, task.admission.service);
        const result = await link.send({
            request: task.request,
            instance,
            remainingMilliseconds: getRemainingMilliseconds(task),
            lastEventId,
            signal: task.signal,
            unresponsiveSignal: allowsAnotherRun(task, 1) ? liveness.getUnresponsiveSignal(instanceId) : undefined,
            onActivity: () => liveness.recordActivity(instanceId),
            ...parameters,
        });
        if (result.kind !== "answered") {
            recordPrefillEnd(task, instanceId);
            recordAttemptEnd(instanceId);
        }
        return result;
    }

    /** Notes an answer; tells whether it is the request's last one. */
    function recordResult(task: ForwardingTask, instance: FleetInstance, result: AttemptResult): boolean {
        const { instanceId } = instance;
        switch (result.kind) {
            case "notSent":
                task.sentCount -= 1;
                loads.recordFailure(instanceId);
                recordFailedAttempt(task, instance, RetryReason.Unreachable, result.reason);
                return false;
            case "notRun":
                if (result.isMisdirected && result.answeredBy !== undefined && result.answeredBy !== instanceId) {
                    loads.recordReplaced(instanceId);
                }
                if (result.load) {
                    loads.recordReport(instanceId, result.load);
                }
                recordFailedAttempt(
                    task,
                    instance,
                    result.isMisdirected ? RetryReason.WrongVersion : RetryReason.Overloaded,
                    `status ${result.status}`,
                );
                return false;
            case "lost":
                task.runCount += 1;
                if (!task.signal.aborted) {
                    loads.recordFailure(instanceId);
                }
                recordFailedAttempt(task, instance, RetryReason.LinkLost, result.reason);
                return !canRunAgain(task);
            case "answered":
                task.runCount += 1;
                return recordResponse(task, instance, result);
            default:
                return assertNever(result);
        }
    }

    function recordResponse(
        task: ForwardingTask,
        instance: FleetInstance,
        { head, load }: Extract<AttemptResult, { kind: "answered"; }>,
    ): boolean {
        if (load) {
            loads.recordReport(instance.instanceId, load);
        }
        metrics.recordMilliseconds(
            HistogramName.TimeToFirstToken,
            clock.getMonotonicMilliseconds() - task.request.arrivalMilliseconds,
        );
        if (head.status < 500 || !canRunAgain(task)) {
            return true;
        }
        recordPrefillEnd(task, instance.instanceId);
        recordAttemptEnd(instance.instanceId);
        recordFailedAttempt(task, instance, RetryReason.BackendRefused, `status ${head.status}`);
        return false;
    }

    function recordFailedAttempt(
        task: ForwardingTask,
        instance: FleetInstance,
        reason: RetryReason,
        detail: string,
    ): void {
        metrics.countRetry(reason);
        task.logger.info({
            instanceId: instance.instanceId,
            reason,
            detail,
            sentCount: task.sentCount,
            weightsVersion: task.request.prompt && getWeightsVersion(instance, task.request.prompt.model),
            fleetRevision: state.getFleetRevision(),
        }, "attempt failed");
    }

    /** Notes that an engine has read a request's prompt, or never will. */
    function recordPrefillEnd(task: ForwardingTask, instanceId: string): void {
        loads.recordPrefillEnd(instanceId, getPromptTokens(task));
        scheduler.recordPrefillEnd(task);
    }

    function recordAttemptEnd(instanceId: string): void {
        loads.recordAttemptEnd(instanceId);
        liveness.recordAttemptEnd(instanceId);
    }

    function canRunAgain(task: ForwardingTask): boolean {
        return allowsAnotherRun(task, 0);
    }

    /** Tells whether a request may be sent again after some more runs. */
    function allowsAnotherRun(task: ForwardingTask, additionalRuns: number): boolean {
        const { route } = task.admission;
        const isIdempotent = route.kind === RouteKind.Idempotent
            || route.kind === RouteKind.Stream && route.isResumable;
        return isIdempotent && !task.signal.aborted && task.runCount + additionalRuns < route.maximumAttempts;
    }

    function getRemainingMilliseconds(task: ForwardingTask): number {
        return Math.floor(task.deadlineMilliseconds - clock.getMonotonicMilliseconds());
    }
}

/** Gets the prompt tokens that an attempt makes an engine read, at the most. */
function getPromptTokens(task: ForwardingTask): number {
    return task.request.prompt?.promptTokens ?? 0;
}

/** Gets what a caller is told whose request found no backend server. */
function getNoCapacityRefusal(task: ForwardingTask, retryAfterMilliseconds: number | undefined): Refusal {
    const reason = task.sentCount === 0 ? RefusalReason.NO_REPLICA : RefusalReason.OVERLOADED;
    return getRefusal(task, reason, retryAfterMilliseconds ?? overloadRetryAfterMilliseconds);
}

/** Gets what a caller is told whose time is over or whose attempts failed. */
function getFailureRefusal(task: ForwardingTask): Refusal {
    const reason = task.signal.aborted ? RefusalReason.DEADLINE : RefusalReason.OUTCOME_UNKNOWN;
    return getRefusal(task, reason, overloadRetryAfterMilliseconds);
}

/** Gets a refusal that says "not run" only where no attempt may have run. */
function getRefusal(task: ForwardingTask, reason: RefusalReason, retryAfterMilliseconds: number): Refusal {
    return task.runCount > 0
        ? { kind: "unknown", reason }
        : { kind: "notRun", reason, retryAfterMilliseconds };
}
