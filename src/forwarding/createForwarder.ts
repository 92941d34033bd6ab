/*
 * Handles requests from admission to the end of their responses.
 */
import { RouteKind } from "../documents";
import { assertNever } from "../errors";
import { Logger } from "../logging";
import { CounterName, HistogramName } from "../metrics";
import { RefusalReason } from "../protocol";
import { waitWithTimeout } from "../runtime";
import { QuotaDecision } from "../workspaceQuotas";
import { admitRequest } from "./admitRequest";
import { admitResumption } from "./admitResumption";
import { CallerReply } from "./CallerReply";
import { createAttemptDispatcher } from "./createAttemptDispatcher";
import { createRequestSignal } from "./createRequestSignal";
import { createRunSubjects } from "./createRunSubjects";
import { drainingRetryAfterMilliseconds } from "./drainingRetryAfterMilliseconds";
import { forwardBuffered } from "./forwardBuffered";
import { ForwardedRequest } from "./ForwardedRequest";
import { Forwarder } from "./Forwarder";
import { ForwarderOptions } from "./ForwarderOptions";
import { ForwardingTask } from "./ForwardingTask";
import { ForwardOutcome } from "./ForwardOutcome";
import { ForwardResult } from "./ForwardResult";
import { forwardStream } from "./forwardStream";
import { getAnswerMilliseconds } from "./getAnswerMilliseconds";
import { getPartLogFields } from "./getPartLogFields";
import { Refusal } from "./Refusal";
import { refuseTask } from "./refuseTask";

/**
 * How long after its start an entry process holds requests until it has the routing document and the fleet: the time of
 * an election, when all processes start at once. After that it refuses immediately, since a longer delay has another
 * cause.
 */
const startupHoldMilliseconds = 1_500;
/** The maximum share of a caller's timeout for which a request is held, so that the caller has time left to retry. */
const heldShareOfTimeout = 0.33;

/**
 * Creates the forwarder of an entry process.
 * @param options - The options of the forwarder.
 */
export function createForwarder(options: ForwarderOptions): Forwarder {
    const { state, clock, random, logger, metrics, plannedStop } = options;
    const dispatcher = createAttemptDispatcher(options);
    const holdEndMilliseconds = clock.getMonotonicMilliseconds() + startupHoldMilliseconds;
    let activeCount = 0;
    return { forward, getActiveCount: () => activeCount, reportLoads: dispatcher.reportLoads };

    async function forward(request: ForwardedRequest, reply: CallerReply): Promise<void> {
        activeCount += 1;
        metrics.addCount(CounterName.Requests);
        try {
            await admitAndForward(request, reply);
        }
        finally {
            activeCount -= 1;
        }
    }

    async function admitAndForward(request: ForwardedRequest, reply: CallerReply): Promise<void> {
        // Callers of the forwarder poll all connections before they hand a request over.
        const polledMilliseconds = clock.getMonotonicMilliseconds();
        await waitForFirstState(request);
        const requestLogger = logger.child({ requestId: request.requestId }, true);
        const firstAdmission = admitRequest(request, state, options.maximumDocumentAgeMilliseconds, random);
        if (firstAdmission.kind === "refused") {
            refuseUnadmitted(request, reply, firstAdmission.refusal, requestLogger);
            return;
        }
        const { timeoutMilliseconds } = firstAdmission.route;
        const { arrivalMilliseconds, callerMilliseconds = Infinity } = request;
        const deadlineMilliseconds = arrivalMilliseconds + Math.min(timeoutMilliseconds, callerMilliseconds);
        const answerMilliseconds = arrivalMilliseconds + getAnswerMilliseconds(timeoutMilliseconds, callerMilliseconds);
        const requestSignal = createRequestSignal(
            { endSignals: [request.signal, plannedStop.signal], answerMilliseconds, deadlineMilliseconds },
            clock,
        );
        try {
            const { signal } = requestSignal;
            const admission = await admitResumption(request, firstAdmission, { ...options, signal });
            if (admission.kind === "refused") {
                refuseUnadmitted(request, reply, admission.refusal, requestLogger);
                return;
            }
            const quotaDecision = await admitToQuota(request, admission, deadlineMilliseconds, signal, requestLogger);
            if (quotaDecision.kind === "refused") {
                const { reason, retryAfterMilliseconds, logFields } = quotaDecision;
                const refusal: Refusal = { kind: "notRun", reason, retryAfterMilliseconds };
                refuseUnadmitted(request, reply, refusal, requestLogger, { quota: logFields });
                return;
            }
            const result = await forwardCharged({
                ...createInitialTaskState(),
                quotaCharge: quotaDecision.charge,
                request,
                reply,
                admission,
                subjects: createRunSubjects(request, admission),
                deadlineMilliseconds,
                signal,
                getEndMilliseconds: requestSignal.getEndMilliseconds,
                recordResponseBegun: requestSignal.recordResponseBegun,
                runId: request.requestId,
                logger: requestLogger,
                softwareVersion: admission.softwareVersion,
                polledMilliseconds,
            });
            logOutcome(result.task, result.outcome);
        }
        finally {
            requestSignal.release();
        }
    }

    function refuseUnadmitted(
        { host, path, resumedRequestId }: ForwardedRequest,
        reply: CallerReply,
        refusal: Refusal,
        requestLogger: Logger,
        logFields: object = {},
    ): void {
        reply.refuse(refusal);
        metrics.countRefusal(refusal.reason);
        requestLogger.info({
            refusal: refusal.kind,
            reason: RefusalReason[refusal.reason],
            host,
            path,
            resumedRequestId,
            ...logFields,
            ...getStateFields(),
        }, "request refused");
    }

    /** Charges a request to the quota of its workspace. Requests of public routes count for none. */
    function admitToQuota(
        { quotaTokens }: ForwardedRequest,
        { route, workspace }: ForwardingTask["admission"],
        deadlineMilliseconds: number,
        signal: AbortSignal,
        requestLogger: Logger,
    ): QuotaDecision | Promise<QuotaDecision> {
        return workspace && !route.isPublic
            ? options.workspaceQuotas.admit({
                workspace: workspace.name,
                tokens: quotaTokens,
                remainingMilliseconds: deadlineMilliseconds - clock.getMonotonicMilliseconds(),
                signal,
                logger: requestLogger,
            })
            : { kind: "admitted", charge: undefined };
    }

    async function forwardCharged(task: ForwardingTask): Promise<ForwardResult> {
        let hasRun = true;
        try {
            const result = await forwardTask(task);
            hasRun = task.counts.run > 0;
            return result;
        }
        finally {
            task.quotaCharge?.end(hasRun);
        }
    }

    function forwardTask(task: ForwardingTask): ForwardResult | Promise<ForwardResult> {
        if (plannedStop.isTooLate(task.deadlineMilliseconds)) {
            const reason = RefusalReason.DRAINING;
            const retryAfterMilliseconds = drainingRetryAfterMilliseconds;
            return { task, outcome: refuseTask(task, { kind: "notRun", reason, retryAfterMilliseconds }) };
        }
        return task.admission.route.kind === RouteKind.Stream
            ? forwardStream(task, dispatcher)
            : forwardBuffered(task, dispatcher);
    }

    /** Holds a request that arrived before a starting entry process had the routing document and the fleet. */
    async function waitForFirstState({ callerMilliseconds }: ForwardedRequest): Promise<void> {
        const holdMilliseconds = Math.min(
            holdEndMilliseconds - clock.getMonotonicMilliseconds(),
            heldShareOfTimeout * (callerMilliseconds ?? Infinity),
        );
        if (holdMilliseconds > 0 && !(state.getRouteTable() && state.getFleet())) {
            await waitWithTimeout(clock, state.waitForInitialState(), holdMilliseconds);
        }
    }

    function logOutcome(task: ForwardingTask, outcome: ForwardOutcome): void {
        const { request, admission: { route, service, workspace } } = task;
        const milliseconds = clock.getMonotonicMilliseconds() - request.arrivalMilliseconds;
        metrics.recordMilliseconds(HistogramName.RequestTime, milliseconds);
        const fields = {
            route: route.name,
            service: service.name,
            workspace: workspace?.name,
            milliseconds: Math.round(milliseconds),
            connectionMilliseconds: request.connectionMilliseconds,
            sentAfterMilliseconds: task.sentAfterMilliseconds,
            hasWaited: task.hasWaitedForPrefill,
            ...getPartLogFields(request.prompt),
            placement: task.placement,
            softwareVersion: task.softwareVersion,
            resumedRequestId: request.resumedRequestId,
            lastEventId: request.lastEventId,
            responseEnd: task.responseEnd,
            sentCount: task.counts.sent,
            runCount: task.counts.run,
            requestSubject: needsRequestSubject(task, outcome) ? task.subjects.getRequestSubjectId() : undefined,
            ...getStateFields(),
        };
        switch (outcome.kind) {
            case "answered":
                metrics.addCount(CounterName.CompletedRequests);
                task.logger.info(
                    { ...fields, status: outcome.status, instanceId: outcome.instanceId },
                    "request answered",
                );
                break;
            case "refused":
                metrics.countRefusal(outcome.refusal.reason);
                task.logger.info(
                    { ...fields, refusal: outcome.refusal.kind, reason: RefusalReason[outcome.refusal.reason] },
                    "request refused",
                );
                break;
            case "brokenOff":
                metrics.addCount(CounterName.BrokenStreams);
                task.logger.info(
                    { ...fields, reason: outcome.reason, instanceId: outcome.instanceId },
                    "answer broken off",
                );
                break;
            case "callerLeft":
                metrics.addCount(
                    task.counts.sent > 0 ? CounterName.CallersLeftAfterSending : CounterName.CallersLeftBeforeSending,
                );
                task.logger.info(fields, "caller left");
                break;
            default:
                assertNever(outcome);
        }
    }

    /** Gets the log fields with the versions and the age of the state on which decisions are based. */
    function getStateFields() {
        return {
            documentVersion: state.getRouteTable()?.document.version,
            fleetRevision: state.getFleetRevision(),
            ageMilliseconds: Math.round(state.getDocumentAgeMilliseconds()),
        };
    }
}

/** Creates the state of the attempts of a request before the first one. */
function createInitialTaskState() {
    return {
        originRecord: undefined,
        triedInstanceIds: new Set<string>(),
        hasWaitedForPrefill: false,
        prefillTokens: 0,
        placement: undefined,
        observedRun: undefined,
        attemptEnded: undefined,
        onServerSilent: () => undefined,
        isHedged: false,
        supersededReason: undefined,
        hasReservedRetry: false,
        responseEnd: undefined,
        sentAfterMilliseconds: undefined,
        counts: { sent: 0, run: 0 },
    };
}

/** Returns whether the log tells which request it was: one that was lost, or is refused as one that crashes servers. */
function needsRequestSubject({ counts }: ForwardingTask, outcome: ForwardOutcome): boolean {
    const isQuarantined = outcome.kind === "refused" && outcome.refusal.reason === RefusalReason.QUARANTINED;
    return isQuarantined || outcome.kind !== "answered" && counts.run > 0;
}
