/*
 * Sends the attempts of a request. A request that certainly did not run may be sent to another backend server whatever
 * its route's kind. One that may have run is sent again only where the route's kind and its maximum number of attempts
 * allow it. Every attempt after one that was sent takes a retry from the budget that all entry processes share.
 */
import { RouteKind } from "../documents";
import { assertNever } from "../errors";
import { getWeightsVersion } from "../fleet";
import { HistogramName, RetryReason } from "../metrics";
import { FleetInstance, RefusalReason } from "../protocol";
import { createNodeRanking } from "../routing";
import { createFleetLoads } from "../serverLoads";
import { AttemptDispatcher } from "./AttemptDispatcher";
import { AttemptEnd } from "./AttemptEnd";
import { AttemptResult } from "./AttemptResult";
import { createEnginePlacement } from "./createEnginePlacement";
import { createInstanceSelector } from "./createInstanceSelector";
import { createLivenessMonitor } from "./createLivenessMonitor";
import { createLoadTracker } from "./createLoadTracker";
import { createPromptScheduler } from "./createPromptScheduler";
import { createRetryBudgets } from "./createRetryBudgets";
import { discardBody } from "./discardBody";
import { DispatchOutcome } from "./DispatchOutcome";
import { endObservedRun } from "./endObservedRun";
import { ForwarderOptions } from "./ForwarderOptions";
import { ForwardingTask } from "./ForwardingTask";
import { getAttemptParameters } from "./getAttemptParameters";
import { getSharedPartIds } from "./getSharedPartIds";
import { getTaskRefusal } from "./getTaskRefusal";
import { recordStreamOrigin } from "./recordStreamOrigin";
import { Refusal } from "./Refusal";

/** The maximum number of backend servers that one request is sent to: more would delay an inevitable refusal. */
const maximumTriedInstances = 4;
/** The retry delay for callers of quarantined requests: only an operator ends the quarantine. */
const quarantinedRetryAfterMilliseconds = 3_600_000;
/** The retry delay for callers whose request found no capacity: the time of a few requests. */
const overloadRetryAfterMilliseconds = 1_000;
/** The minimum remaining time that is worth another attempt. */
const minimumAttemptMilliseconds = 20;

/**
 * Creates the attempt dispatcher of an entry process.
 * @param options - The options of the forwarder.
 */
export function createAttemptDispatcher(options: ForwarderOptions): AttemptDispatcher {
    const { state, link, serverLimits, dataCentre, clock, random, metrics } = options;
    const liveness = createLivenessMonitor(options);
    const fleetLoads = createFleetLoads(options.facts, clock);
    const loads = createLoadTracker(clock, liveness.isUnresponsive, fleetLoads);
    const ranking = createNodeRanking();
    const placement = createEnginePlacement(
        loads,
        ranking,
        clock,
        options.supersededWeightsGraceMilliseconds,
        random,
    );
    const scheduler = createPromptScheduler(placement, state, clock);
    const selector = createInstanceSelector({
        state,
        scheduler,
        loads,
        isProbed: liveness.isProbed,
        serverLimits,
        dataCentre,
        random,
    });
    const retryBudgets = createRetryBudgets(options.retryShare, options.retryReserve, state.getEntryCount);
    return {
        dispatch,
        recordPrefillEnd,
        recordAttemptEnd,
        canRunAgain,
        reportLoads: () => fleetLoads.reportOwn(loads.getOwnLoads()),
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
            const candidates = selector.getCandidates(task);
            const instance = selector.choose(task, candidates);
            if (!instance && candidates.length > 0) {
                return { kind: "givenUp", refusal: selector.getLimitRefusal(task, candidates) };
            }
            if (!instance || task.triedInstanceIds.size >= maximumTriedInstances || !tryTakeAttempt(task)) {
                return { kind: "givenUp", refusal: getNoCapacityRefusal(task, retryAfterMilliseconds) };
            }
            if (await scheduler.waitForPrefill(task, instance) || !serverLimits.tryTake(instance.instanceId)) {
                continue;
            }
            const result = await send(task, instance, lastEventId ?? request.lastEventId);
            const isFinal = recordResult(task, instance, result);
            if (result.kind === "answered" && isFinal) {
                return { kind: "opened", instance, response: result };
            }
            if (result.kind === "answered") {
                void discardBody(result, clock);
            }
            if (isFinal) {
                return { kind: "givenUp", refusal: getFailureRefusal(task) };
            }
            if (result.kind === "notRun") {
                retryAfterMilliseconds = result.retryAfterMilliseconds;
            }
        }
    }

    /**
     * Gets the refusal where nothing may be sent: the caller has disconnected, the time is over, the request crashes
     * backend servers, or the routing document is too old.
     */
    function getBlockingRefusal(task: ForwardingTask): Refusal | undefined {
        if (task.signal.aborted || getRemainingMilliseconds(task) < minimumAttemptMilliseconds) {
            return getFailureRefusal(task);
        }
        if (options.crashQuarantine.isQuarantined(task.subjects)) {
            return getTaskRefusal(task, RefusalReason.QUARANTINED, quarantinedRetryAfterMilliseconds);
        }
        const needsKey = task.admission.workspace !== undefined && !task.admission.route.isPublic;
        const isStale = needsKey && state.getDocumentAgeMilliseconds() > options.maximumDocumentAgeMilliseconds;
        return isStale ? getTaskRefusal(task, RefusalReason.STALE_SETTINGS, overloadRetryAfterMilliseconds) : undefined;
    }

    /** Takes a retry from the budget; the first attempt needs none, and one that replaces a silent server's has it. */
    function tryTakeAttempt(task: ForwardingTask): boolean {
        if (task.hasReservedRetry) {
            task.hasReservedRetry = false;
            return true;
        }
        return task.sentCount === 0 || retryBudgets.tryTakeRetry(task.admission.service.name);
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
            softwareVersion: instance.softwareVersion,
            requestCount: loads.getRequestCount(instanceId),
            unreadTokens: loads.getPendingPrefillTokens(instanceId),
            fetchAddress: parameters.fetchAddress,
            saveAddress: parameters.saveAddress,
        };
        if (lastEventId === undefined) {
            task.originRecord = recordStreamOrigin(
                task,
                instance,
                getRemainingMilliseconds(task),
                options.streamOrigins,
            );
        }
        loads.recordSent(instanceId, getPromptTokens(task));
        liveness.recordSent(instance, task.admission.service);
        task.observedRun = options.crashQuarantine.beginRun(instance, task.admission.service, task.subjects);
        const result = await link.send({
            request: task.request,
            instance,
            remainingMilliseconds: getRemainingMilliseconds(task),
            lastEventId,
            signal: task.signal,
            unresponsiveSignal: getUnresponsiveSignal(task, instanceId),
            onActivity: () => liveness.recordActivity(instanceId),
            ...parameters,
        });
        if (result.kind !== "answered") {
            recordPrefillEnd(task, instanceId);
            recordAttemptEnd(task, instanceId, result.kind === "lost" ? "lost" : "other");
        }
        return result;
    }

    /**
     * Gets the signal that ends an attempt at an unresponsive backend server. Where another server may take over, it is
     * aborted soon; a stream that must not run again ends once its server is taken for gone, since its caller can do
     * better than to wait for the deadline. Other requests wait: their response may be ready, and the caller of a request
     * that must not run twice needs its outcome.
     */
    function getUnresponsiveSignal(task: ForwardingTask, instanceId: string): AbortSignal | undefined {
        if (allowsAnotherRun(task, 1)) {
            return createTakeoverSignal(task, instanceId);
        }
        return task.admission.route.kind === RouteKind.Stream ? liveness.getGoneSignal(instanceId) : undefined;
    }

    /** Creates the signal that is aborted once the backend server is unresponsive and another one can take over. */
    function createTakeoverSignal(task: ForwardingTask, instanceId: string): AbortSignal {
        const takeover = new AbortController();
        task.attemptEnded = new AbortController();
        liveness.getUnresponsiveSignal(instanceId).addEventListener("abort", () => {
            if (!getBlockingRefusal(task) && selector.canTakeOver(task) && tryTakeAttempt(task)) {
                task.hasReservedRetry = true;
                takeover.abort();
            }
        }, { signal: task.attemptEnded.signal });
        return takeover.signal;
    }

    /** Records the result of an attempt; returns whether no further attempt follows. */
    function recordResult(task: ForwardingTask, instance: FleetInstance, result: AttemptResult): boolean {
        const { instanceId } = instance;
        switch (result.kind) {
            case "notSent":
                task.sentCount -= 1;
                serverLimits.giveBack(instanceId);
                loads.recordFailure(instanceId);
                recordFailedAttempt(task, instance, RetryReason.Unreachable, result.reason);
                return false;
            case "notRun":
                if (result.isMisdirected && result.answeredBy !== undefined && result.answeredBy !== instanceId) {
                    loads.recordReplaced(instanceId);
                }
                if (!result.isMisdirected) {
                    serverLimits.recordLimit(instanceId, result.requestLimit);
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
                task.observedRun?.recordBegin();
                return recordResponse(task, instance, result);
            default:
                return assertNever(result);
        }
    }

    function recordResponse(
        task: ForwardingTask,
        instance: FleetInstance,
        { head, load, requestLimit }: Extract<AttemptResult, { kind: "answered"; }>,
    ): boolean {
        serverLimits.recordLimit(instance.instanceId, requestLimit);
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
        recordAttemptEnd(task, instance.instanceId, "other");
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
            promptParts: getSharedPartIds(task.request.prompt),
            requestSubject: reason === RetryReason.LinkLost ? task.subjects.getRequestSubjectId() : undefined,
            sentCount: task.sentCount,
            weightsVersion: task.request.prompt && getWeightsVersion(instance, task.request.prompt.model),
            fleetRevision: state.getFleetRevision(),
        }, "attempt failed");
    }

    /** Records that the prefill of a request's prompt has ended, or will not take place. */
    function recordPrefillEnd(task: ForwardingTask, instanceId: string): void {
        loads.recordPrefillEnd(instanceId, getPromptTokens(task));
        scheduler.recordPrefillEnd(task);
    }

    function recordAttemptEnd(task: ForwardingTask, instanceId: string, end: AttemptEnd): void {
        loads.recordAttemptEnd(instanceId, getPromptTokens(task));
        liveness.recordAttemptEnd(instanceId);
        task.attemptEnded?.abort();
        endObservedRun(task, end);
    }

    function canRunAgain(task: ForwardingTask): boolean {
        return allowsAnotherRun(task, 0);
    }

    /** Returns whether a request may be sent again after a number of additional runs. */
    function allowsAnotherRun(task: ForwardingTask, additionalRuns: number): boolean {
        const { route } = task.admission;
        const isIdempotent = route.kind === RouteKind.Idempotent
            || route.kind === RouteKind.Stream && route.isResumable;
        const isSuspected = options.crashQuarantine.isSuspected(task.subjects);
        return isIdempotent && !isSuspected && !task.signal.aborted
            && task.runCount + additionalRuns < route.maximumAttempts;
    }

    function getRemainingMilliseconds(task: ForwardingTask): number {
        return Math.floor(task.deadlineMilliseconds - clock.getMonotonicMilliseconds());
    }
}

/** Gets the prompt tokens that an engine prefills for an attempt at most. */
function getPromptTokens(task: ForwardingTask): number {
    return task.request.prompt?.promptTokens ?? 0;
}

/** Gets the refusal of a request for which there is no backend server, retry or capacity left. */
function getNoCapacityRefusal(task: ForwardingTask, retryAfterMilliseconds: number | undefined): Refusal {
    const reason = task.sentCount === 0 ? RefusalReason.NO_REPLICA : RefusalReason.OVERLOADED;
    return getTaskRefusal(task, reason, retryAfterMilliseconds ?? overloadRetryAfterMilliseconds);
}

/** Gets the refusal of a request whose time is over or whose attempts failed. */
function getFailureRefusal(task: ForwardingTask): Refusal {
    const reason = task.signal.aborted ? RefusalReason.DEADLINE : RefusalReason.OUTCOME_UNKNOWN;
    return getTaskRefusal(task, reason, overloadRetryAfterMilliseconds);
}
