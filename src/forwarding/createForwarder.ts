/*
 * Takes requests from admission to the end of their answers.
 */
import { RouteKind } from "../documents";
import { assertNever } from "../errors";
import { CounterName, HistogramName } from "../metrics";
import { RefusalReason } from "../protocol";
import { waitAtMost } from "../runtime";
import { admitRequest } from "./admitRequest";
import { CallerReply } from "./CallerReply";
import { createAnswerOpener } from "./createAnswerOpener";
import { createRequestSignal } from "./createRequestSignal";
import { ForwardedRequest } from "./ForwardedRequest";
import { ForwardEnd } from "./ForwardEnd";
import { Forwarder } from "./Forwarder";
import { ForwarderOptions } from "./ForwarderOptions";
import { ForwardingTask } from "./ForwardingTask";
import { forwardStream } from "./forwardStream";
import { forwardWhole } from "./forwardWhole";

/**
 * How long after its start an entry holds requests until it knows the rules and the fleet, in milliseconds: the time of an
 * election, when all processes start at once. Later it refuses at once: what takes longer has another cause.
 */
const startMilliseconds = 1_500;
/** The part of a caller's time for which a request is held at the most, so that its caller can come back. */
const heldPart = 0.33;

/**
 * Creates the forwarder of an entry.
 * @param options - What the forwarder is made of.
 */
export function createForwarder(options: ForwarderOptions): Forwarder {
    const { state, clock, random, logger, metrics } = options;
    const opener = createAnswerOpener(options);
    const holdEndMilliseconds = clock.getMonotonicMilliseconds() + startMilliseconds;
    let activeCount = 0;
    return { forward, getActiveCount: () => activeCount };

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
        await waitForKnowledge(request);
        const requestLogger = logger.child({ requestId: request.requestId }, true);
        const admission = admitRequest(request, state, options.longestAgeMilliseconds, random);
        if (admission.kind === "refused") {
            reply.refuse(admission.refusal);
            metrics.countRefusal(admission.refusal.reason);
            requestLogger.info({
                refusal: admission.refusal.kind,
                reason: RefusalReason[admission.refusal.reason],
                host: request.host,
                path: request.path,
                ...getKnowledge(),
            }, "request refused");
            return;
        }
        const { route } = admission;
        const timeout = Math.min(route.timeoutMilliseconds, request.callerMilliseconds ?? Infinity);
        const deadlineMilliseconds = request.arrivalMilliseconds + timeout;
        const requestSignal = createRequestSignal(request.signal, deadlineMilliseconds, clock);
        const task: ForwardingTask = {
            request,
            reply,
            admission,
            deadlineMilliseconds,
            signal: requestSignal.signal,
            logger: requestLogger,
            triedIds: new Set(),
            hasWaited: false,
            placement: undefined,
            sentCount: 0,
            runCount: 0,
        };
        const end = route.kind === RouteKind.Stream
            ? await forwardStream(task, opener)
            : await forwardWhole(task, opener);
        requestSignal.release();
        logEnd(task, end);
    }

    /** Holds a request that came before a starting entry knew anything. */
    async function waitForKnowledge({ callerMilliseconds }: ForwardedRequest): Promise<void> {
        const holdMilliseconds = Math.min(
            holdEndMilliseconds - clock.getMonotonicMilliseconds(),
            heldPart * (callerMilliseconds ?? Infinity),
        );
        if (holdMilliseconds > 0 && !(state.getTable() && state.getFleet())) {
            await waitAtMost(clock, state.waitForInitialState(), holdMilliseconds);
        }
    }

    function logEnd(task: ForwardingTask, end: ForwardEnd): void {
        const { request, admission: { route, service, workspace } } = task;
        const milliseconds = clock.getMonotonicMilliseconds() - request.arrivalMilliseconds;
        metrics.recordMilliseconds(HistogramName.RequestTime, milliseconds);
        const fields = {
            route: route.name,
            service: service.name,
            workspace: workspace?.name,
            milliseconds: Math.round(milliseconds),
            hasWaited: task.hasWaited,
            placement: task.placement,
            sentCount: task.sentCount,
            runCount: task.runCount,
            ...getKnowledge(),
        };
        switch (end.kind) {
            case "answered":
                metrics.addCount(CounterName.Completed);
                task.logger.info({ ...fields, status: end.status, instanceId: end.instanceId }, "request answered");
                break;
            case "refused":
                metrics.countRefusal(end.refusal.reason);
                task.logger.info(
                    { ...fields, refusal: end.refusal.kind, reason: RefusalReason[end.refusal.reason] },
                    "request refused",
                );
                break;
            case "brokenOff":
                metrics.addCount(CounterName.BrokenStreams);
                task.logger.info({ ...fields, reason: end.reason, instanceId: end.instanceId }, "answer broken off");
                break;
            case "callerLeft":
                task.logger.info(fields, "caller left");
                break;
            default:
                assertNever(end);
        }
    }

    /** Gets the versions and the age of what decisions are based on. */
    function getKnowledge() {
        return {
            documentVersion: state.getTable()?.document.version,
            fleetRevision: state.getFleetRevision(),
            ageMilliseconds: Math.round(state.getDocumentAgeMilliseconds()),
        };
    }
}
