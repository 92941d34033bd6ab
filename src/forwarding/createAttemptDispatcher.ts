/*
 * Sends the attempts of a request. A request that certainly did not run may be sent to another backend server whatever
 * its route's kind. One that may have run is sent again only where the route's kind and its maximum number of attempts
 * allow it. Every attempt after one that was sent takes a retry from the budget that all entry processes share.
 */
import { RouteKind } from "../documents";
import { FleetInstance, RefusalReason } from "../protocol";
import { createNodeRanking } from "../routing";
import { createFleetLoads } from "../serverLoads";
import { allowsAnotherRun } from "./allowsAnotherRun";
import { AttemptDispatcher } from "./AttemptDispatcher";
import { AttemptResult } from "./AttemptResult";
import { createAttemptRecorder } from "./createAttemptRecorder";
import { createEnginePlacement } from "./createEnginePlacement";
import { createInstanceSelector } from "./createInstanceSelector";
import { createLivenessMonitor } from "./createLivenessMonitor";
import { createLoadTracker } from "./createLoadTracker";
import { createPromptScheduler } from "./createPromptScheduler";
import { createRetryBudgets } from "./createRetryBudgets";
import { discardBody } from "./discardBody";
import { DispatchOutcome } from "./DispatchOutcome";
import { ForwarderOptions } from "./ForwarderOptions";
import { ForwardingTask } from "./ForwardingTask";
import { getAttemptParameters } from "./getAttemptParameters";
import { getCacheScope } from "./getCacheScope";
import { getTaskRefusal } from "./getTaskRefusal";
import { recordStreamOrigin } from "./recordStreamOrigin";
import { Refusal } from "./Refusal";

/** The maximum number of backend servers that one request is sent to: more would delay an inevitable refusal. */
const maximumTriedInstances = 4;
/** The retry delay for callers of quarantined requests: only an operator ends the quarantine. */
const quarantinedRetryAfterMilliseconds = 3_600_000;
/** The retry delay for callers whose request found no capacity: the time of a few requests. */
const overloadRetryAfterMilliseconds = 1_000;
/** The maximum age of the poll of all connections before an attempt, in milliseconds: far below callers' patience. */
const maximumPollAgeMilliseconds = 25;
/** The minimum remaining time that is worth another attempt. */
const minimumAttemptMilliseconds = 20;

/**
 * Creates the attempt dispatcher of an entry process.
 * @param options - The options of the forwarder.
 */
export function createAttemptDispatcher(options: ForwarderOptions): AttemptDispatcher {
    const { state, link, serverLimits, dataCentre, clock, random } = options;
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
    const recorder = createAttemptRecorder({ ...options, loads, liveness, scheduler, canRunAgain });
    const retryBudgets = createRetryBudgets(options.retryShare, options.retryReserve, state.getEntryCount);
    return {
        dispatch,
        recordPrefillEnd: recorder.recordPrefillEnd,
        recordAttemptEnd: recorder.recordAttemptEnd,
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
            await pollIfStale(task);
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
            const isFinal = recorder.recordResult(task, instance, result);
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

    /** Polls all connections where the request has waited since the last poll, as its caller may have left meanwhile. */
    async function pollIfStale(task: ForwardingTask): Promise<void> {
        if (clock.getMonotonicMilliseconds() - task.polledMilliseconds > maximumPollAgeMilliseconds) {
            await options.pollConnections();
            task.polledMilliseconds = clock.getMonotonicMilliseconds();
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
        recorder.recordSending(task);
        const parameters = getAttemptParameters(task, instance, {
            entryCount: state.getEntryCount(),
            scope: getCacheScope(task, state),
            sources: scheduler.startPrefill(task, instance),
            kvCacheStores: options.kvCacheStores,
            ranking,
        });
        task.placement = {
            instanceId,
            softwareVersion: instance.softwareVersion,
            requestCount: loads.getRequestCount(instanceId),
            unreadTokens: loads.getPendingPrefillTokens(instanceId),
            cache: parameters.cache,
            fleetAgeMilliseconds: Math.round(state.getFleetAgeMilliseconds()),
        };
        if (lastEventId === undefined) {
            task.originRecord = recordStreamOrigin(
                task,
                instance,
                getRemainingMilliseconds(task),
                options.streamOrigins,
            );
        }
        loads.recordSent(instanceId, task.request.prompt?.promptTokens ?? 0, task.prefillTokens);
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
            recorder.recordPrefillEnd(task, instanceId);
            recorder.recordAttemptEnd(task, instanceId, result.kind === "lost" ? "lost" : "other");
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
        if (allowsAnotherRun(task, options.crashQuarantine, 1)) {
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

    function canRunAgain(task: ForwardingTask): boolean {
        return allowsAnotherRun(task, options.crashQuarantine, 0);
    }

    function getRemainingMilliseconds(task: ForwardingTask): number {
        return Math.floor(task.deadlineMilliseconds - clock.getMonotonicMilliseconds());
    }
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
