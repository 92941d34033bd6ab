/*
 * Sends the attempts of a request. A request that certainly did not run may be sent to another backend server whatever
 * its route's kind. One that may have run is sent again only where the route's kind and its maximum number of attempts
 * allow it. Every attempt after one that was sent takes a retry from the budget that all entry processes share.
 */
import { CounterName, GaugeName, RetryReason, TaskName } from "../metrics";
import { FleetInstance, RefusalReason } from "../protocol";
import { createNodeRanking } from "../routing";
import { createFleetLoads } from "../serverLoads";
import { startTask } from "../supervision";
import { addSpeedGauges } from "./addSpeedGauges";
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
import { createRetryReservations } from "./createRetryReservations";
import { createTaskShedding } from "./createTaskShedding";
import { discardBody } from "./discardBody";
import { DispatchOutcome } from "./DispatchOutcome";
import { ForwarderOptions } from "./ForwarderOptions";
import { ForwardingTask } from "./ForwardingTask";
import { getAttemptParameters } from "./getAttemptParameters";
import { getCacheScope } from "./getCacheScope";
import { getHedgeSoftwareVersion } from "./getHedgeSoftwareVersion";
import { getSpeedFields } from "./getSpeedFields";
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
/** How often a run is told that its server is silent, in milliseconds: a hedge that failed may be followed by another one. */
const silenceIntervalMilliseconds = 500;
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
    const shedding = createTaskShedding({ ...options, loads, scheduler });
    const recorder = createAttemptRecorder({ ...options, loads, liveness, scheduler, canRunAgain });
    const retryBudgets = createRetryBudgets({
        share: options.retryShare,
        reserve: options.retryReserve,
        windowMilliseconds: options.retryWindowMilliseconds,
        state,
        clock,
    });
    const retryReservations = createRetryReservations(retryBudgets, metrics);
    metrics.addGauge(GaugeName.EntryProcesses, state.getEntryCount);
    addSpeedGauges(metrics, loads);
    metrics.addGauge(GaugeName.SavedRetries, retryBudgets.getFewestSavedRetries);
    return {
        dispatch,
        recordPrefillEnd: recorder.recordPrefillEnd,
        recordAttemptEnd: (task, instanceId, end) => {
            recorder.recordAttemptEnd(task, instanceId, end);
            shedding.recordEnd(task, end);
        },
        canRunAgain,
        tryReserveHedge,
        recordHedgeWon,
        reportLoads: () => fleetLoads.reportOwn(loads.getOwnLoads()),
    };

    async function dispatch(task: ForwardingTask, lastEventId: string | undefined): Promise<DispatchOutcome> {
        if (task.counts.sent === 0) {
            retryBudgets.addFirstAttempt(task.admission.service.name);
        }
        try {
            return await sendAttempts(task, lastEventId ?? task.request.lastEventId);
        }
        finally {
            retryReservations.release(task);
        }
    }

    async function sendAttempts(task: ForwardingTask, lastEventId: string | undefined): Promise<DispatchOutcome> {
        let retryAfterMilliseconds: number | undefined;
        while (true) {
            await pollIfStale(task);
            const refusal = getBlockingRefusal(task);
            if (refusal) {
                return { kind: "givenUp", refusal };
            }
            const candidates = selector.getCandidates(task);
            const chosen = selector.choose(task, candidates);
            const placed = chosen && shedding.place(task, chosen, candidates);
            if (placed && "refusal" in placed) {
                return { kind: "givenUp", refusal: placed.refusal };
            }
            const instance = placed?.instance;
            if (!instance && candidates.length > 0) {
                return { kind: "givenUp", refusal: selector.getLimitRefusal(task, candidates) };
            }
            if (!instance || hasTriedAll(task) || !retryReservations.tryReserve(task)) {
                return { kind: "givenUp", refusal: getNoCapacityRefusal(task, retryAfterMilliseconds) };
            }
            if (await scheduler.waitForPrefill(task, instance) || !serverLimits.tryTake(instance.instanceId)) {
                continue;
            }
            const result = await send(task, instance, lastEventId);
            const isFinal = recorder.recordResult(task, instance, result);
            if (result.kind === "answered" && isFinal) {
                return { kind: "opened", instance, response: result };
            }
            if (result.kind === "answered") {
                startTask(TaskName.ResponseDiscarding, () => discardBody(result, clock), options);
            }
            if (isFinal || task.isHedged) {
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
        const remainingMilliseconds = task.getEndMilliseconds() - clock.getMonotonicMilliseconds();
        if (task.signal.aborted || remainingMilliseconds < minimumAttemptMilliseconds) {
            return getFailureRefusal(task);
        }
        if (options.crashQuarantine.isQuarantined(task.subjects)) {
            return getTaskRefusal(task, RefusalReason.QUARANTINED, quarantinedRetryAfterMilliseconds);
        }
        const needsKey = task.admission.workspace !== undefined && !task.admission.route.isPublic;
        const isStale = needsKey && state.getDocumentAgeMilliseconds() > options.maximumDocumentAgeMilliseconds;
        const refusal = isStale
            ? { reason: RefusalReason.STALE_SETTINGS, retryAfterMilliseconds: overloadRetryAfterMilliseconds }
            : task.quotaCharge?.prepareSending(task.counts.run > 0);
        return refusal && getTaskRefusal(task, refusal.reason, refusal.retryAfterMilliseconds);
    }

    async function send(
        task: ForwardingTask,
        instance: FleetInstance,
        lastEventId: string | undefined,
    ): Promise<AttemptResult> {
        const { instanceId } = instance;
        task.triedInstanceIds.add(instanceId);
        task.counts.sent += 1;
        task.counts.run += 1;
        task.quotaCharge?.recordSent();
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
            ...getSpeedFields(loads.getSpeed(instanceId)),
            cache: parameters.cache,
            fleetAgeMilliseconds: Math.round(state.getFleetAgeMilliseconds()),
        };
        if (lastEventId === undefined) {
            task.originRecord = recordStreamOrigin(
                task,
                instance,
                getRemainingMilliseconds(task),
                options.streamOrigins,
                clock,
            );
        }
        loads.recordSent(instanceId, task.request.prompt?.promptTokens ?? 0, task.prefillTokens);
        shedding.recordSent(task, instance);
        liveness.recordSent(instance, task.admission.service);
        task.observedRun = options.crashQuarantine.beginRun(instance, task.admission.service, task.subjects);
        let lastActivityMilliseconds = clock.getMonotonicMilliseconds();
        observeSilence(task, instanceId, () => clock.getMonotonicMilliseconds() - lastActivityMilliseconds);
        const result = await link.send({
            request: task.request,
            instance,
            remainingMilliseconds: getRemainingMilliseconds(task),
            lastEventId,
            signal: task.signal,
            goneSignal: liveness.getGoneSignal(instanceId),
            onActivity: () => {
                lastActivityMilliseconds = clock.getMonotonicMilliseconds();
                liveness.recordActivity(instanceId);
            },
            ...parameters,
        });
        if (result.kind !== "notSent") {
            retryReservations.recordSent(task);
        }
        if (result.kind !== "answered") {
            recorder.recordPrefillEnd(task, instanceId);
            recorder.recordAttemptEnd(task, instanceId, result.kind === "lost" ? "lost" : "other");
            shedding.recordEnd(task, "other");
        }
        return result;
    }

    /** Tells a run that its server is silent, again and again in each silence until the attempt has ended. */
    function observeSilence(task: ForwardingTask, instanceId: string, getSilentMilliseconds: () => number): void {
        const attemptEnded = new AbortController();
        const { signal } = attemptEnded;
        task.attemptEnded = attemptEnded;
        waitForSilence();

        function waitForSilence(): void {
            if (isSilent(instanceId)) {
                startNotices();
                return;
            }
            // The monitor replaces the signal once the server responds.
            liveness.getUnresponsiveSignal(instanceId)
                .addEventListener("abort", startNotices, { once: true, signal });
        }

        function startNotices(): void {
            startTask(TaskName.SilenceNotices, notifyWhileSilent, { ...options, signal });
        }

        async function notifyWhileSilent(): Promise<void> {
            while (!signal.aborted && isSilent(instanceId)) {
                task.onServerSilent(getSilentMilliseconds());
                await clock.sleep(silenceIntervalMilliseconds, signal);
            }
            if (!signal.aborted) {
                waitForSilence();
            }
        }
    }

    /** Returns whether this entry process finds a backend server silent, whatever others report. */
    function isSilent(instanceId: string): boolean {
        return liveness.getUnresponsiveSignal(instanceId).aborted;
    }

    function canRunAgain(task: ForwardingTask): boolean {
        return !task.isHedged && allowsAnotherRun(task, options.crashQuarantine);
    }

    function tryReserveHedge(task: ForwardingTask): boolean {
        const { placement } = task;
        if (!placement || !isSilent(placement.instanceId)) {
            return false;
        }
        const isAllowed = canRunAgain(task) && !hasTriedAll(task) && !getBlockingRefusal(task)
            && selector.canTakeOver({ ...task, softwareVersion: getHedgeSoftwareVersion(task) })
            && retryReservations.tryTake(task);
        if (isAllowed) {
            metrics.countRetry(RetryReason.SilentServer);
            task.logger.info({
                instanceId: placement.instanceId,
                counts: task.counts,
                remainingMilliseconds: getRemainingMilliseconds(task),
                documentVersion: state.getRouteTable()?.document.version,
            }, "request is hedged");
        }
        return isAllowed;
    }

    function recordHedgeWon(task: ForwardingTask): void {
        metrics.addCount(CounterName.HedgesWon);
        task.logger.info({ instanceId: task.placement?.instanceId }, "hedge goes on");
    }

    function getRemainingMilliseconds(task: ForwardingTask): number {
        return Math.floor(task.deadlineMilliseconds - clock.getMonotonicMilliseconds());
    }
}

/** Returns whether a request was sent to as many backend servers as one may be. */
function hasTriedAll({ triedInstanceIds }: ForwardingTask): boolean {
    return triedInstanceIds.size >= maximumTriedInstances;
}

/** Gets the refusal of a request for which there is no backend server, retry or capacity left. */
function getNoCapacityRefusal(task: ForwardingTask, retryAfterMilliseconds: number | undefined): Refusal {
    const reason = task.counts.sent === 0 ? RefusalReason.NO_REPLICA : RefusalReason.OVERLOADED;
    return getTaskRefusal(task, reason, retryAfterMilliseconds ?? overloadRetryAfterMilliseconds);
}

/** Gets the refusal of a request whose time is over or whose attempts failed. */
function getFailureRefusal(task: ForwardingTask): Refusal {
    const reason = task.signal.aborted ? RefusalReason.DEADLINE : RefusalReason.OUTCOME_UNKNOWN;
    return getTaskRefusal(task, reason, overloadRetryAfterMilliseconds);
}
