/*
 * Sends the attempts of a request. A request that certainly did not run may be sent to another backend server whatever
 * its route's kind. One that may have run is sent again only where the route's kind and its maximum number of attempts
 * allow it. Every attempt after one that was sent takes a retry from the budget that all entry processes share.
 */
import { create } from "@bufbuild/protobuf";
import { RouteKind } from "../documents";
import { assertNever } from "../errors";
import { getWeightsVersion } from "../fleet";
import { HistogramName, RetryReason } from "../metrics";
import { FleetInstance, RefusalReason, StreamOriginSchema } from "../protocol";
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
import { getSharedPartIds } from "./getSharedPartIds";
import { Refusal } from "./Refusal";
import { StreamOriginRecord } from "./StreamOriginRecord";

/** The maximum number of backend servers that one request is sent to: more would delay an inevitable refusal. */
const maximumTriedInstances = 4;
/** The retry delay for callers whose request found no capacity: the time of a few requests. */
const overloadRetryAfterMilliseconds = 1_000;
/** How long after the deadline of its first request a caller may still return to a stream. */
const returnMarginMilliseconds = 15_000;
/** The minimum remaining time that is worth another attempt. */
const minimumAttemptMilliseconds = 20;

/**
 * Creates the attempt dispatcher of an entry process.
 * @param options - The options of the forwarder.
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

    /**
     * Gets the refusal where nothing may be sent: the caller has disconnected, the time is over, or the routing
     * document is too old.
     */
    function getBlockingRefusal(task: ForwardingTask): Refusal | undefined {
        if (task.signal.aborted || getRemainingMilliseconds(task) < minimumAttemptMilliseconds) {
            return getFailureRefusal(task);
        }
        const needsKey = task.admission.workspace !== undefined && !task.admission.route.isPublic;
        const isStale = needsKey && state.getDocumentAgeMilliseconds() > options.maximumDocumentAgeMilliseconds;
        return isStale ? getRefusal(task, RefusalReason.STALE_SETTINGS, overloadRetryAfterMilliseconds) : undefined;
    }

    /** Takes a retry from the budget; the first attempt needs none. */
    function tryTakeAttempt(task: ForwardingTask): boolean {
        return task.sentCount === 0 || retryBudgets.tryTakeRetry(task.admission.service.name);
    }

    /** Chooses a backend server that has not been tried yet. */
    function chooseInstance(task: ForwardingTask): FleetInstance | undefined {
        const { request: { prompt }, admission: { service }, triedInstanceIds } = task;
        const candidates = (state.getFleet()?.instances ?? []).filter(instance =>
            instance.service === service.name && !instance.isLeaving && !triedInstanceIds.has(instance.instanceId)
            && (task.softwareVersion === undefined || instance.softwareVersion === task.softwareVersion)
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
            softwareVersion: instance.softwareVersion,
            requestCount: loads.getRequestCount(instanceId),
            unreadTokens: loads.getPendingPrefillTokens(instanceId),
            fetchAddress: parameters.fetchAddress,
            saveAddress: parameters.saveAddress,
        };
        if (lastEventId === undefined) {
            task.originRecord = recordOrigin(task, instance);
        }
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

    /** Records where a new stream begins, if callers may resume it. */
    function recordOrigin(
        task: ForwardingTask,
        { softwareVersion }: FleetInstance,
    ): StreamOriginRecord | undefined {
        const { admission: { route, service }, request: { requestId }, originRecord: formerRecord } = task;
        if (route.kind !== RouteKind.Stream || !route.isResumable || softwareVersion === "") {
            return undefined;
        }
        const origin = create(StreamOriginSchema, {
            requestId,
            service: service.name,
            softwareVersion,
            attemptNumber: task.sentCount,
            lifetimeMilliseconds: Math.max(0, getRemainingMilliseconds(task)) + returnMarginMilliseconds,
        });
        return {
            softwareVersion,
            replacesOtherVersion: formerRecord !== undefined
                && (formerRecord.replacesOtherVersion || formerRecord.softwareVersion !== softwareVersion),
            recorded: options.streamOrigins.record(origin),
        };
    }

    /** Records the result of an attempt; returns whether no further attempt follows. */
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
            promptParts: getSharedPartIds(task.request.prompt),
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

    function recordAttemptEnd(instanceId: string): void {
        loads.recordAttemptEnd(instanceId);
        liveness.recordAttemptEnd(instanceId);
    }

    function canRunAgain(task: ForwardingTask): boolean {
        return allowsAnotherRun(task, 0);
    }

    /** Returns whether a request may be sent again after a number of additional runs. */
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

/** Gets the prompt tokens that an engine prefills for an attempt at most. */
function getPromptTokens(task: ForwardingTask): number {
    return task.request.prompt?.promptTokens ?? 0;
}

/** Gets the refusal of a request for which there is no backend server, retry or capacity left. */
function getNoCapacityRefusal(task: ForwardingTask, retryAfterMilliseconds: number | undefined): Refusal {
    const reason = task.sentCount === 0 ? RefusalReason.NO_REPLICA : RefusalReason.OVERLOADED;
    return getRefusal(task, reason, retryAfterMilliseconds ?? overloadRetryAfterMilliseconds);
}

/** Gets the refusal of a request whose time is over or whose attempts failed. */
function getFailureRefusal(task: ForwardingTask): Refusal {
    const reason = task.signal.aborted ? RefusalReason.DEADLINE : RefusalReason.OUTCOME_UNKNOWN;
    return getRefusal(task, reason, overloadRetryAfterMilliseconds);
}

/** Creates a refusal, which states "not run" only where no attempt can have run. */
function getRefusal(task: ForwardingTask, reason: RefusalReason, retryAfterMilliseconds: number): Refusal {
    return task.runCount > 0
        ? { kind: "unknown", reason }
        : { kind: "notRun", reason, retryAfterMilliseconds };
}
