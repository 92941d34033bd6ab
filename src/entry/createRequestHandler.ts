/*
 * Handles HTTP requests: authentication, routing, admission, rate limits, dispatch and response.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import { Subscriber } from "../control/configuration";
import { assertNever } from "../errors";
import { CounterName } from "../metrics";
import { RefusalReason } from "../protocol";
import { ConnectionTurns, createRequestMemory } from "../requestMemory";
import { pollConnections } from "../runtime";
import { admitRequest } from "./admitRequest";
import { AdmittedRequest } from "./AdmittedRequest";
import { createRequestDispatcher } from "./createRequestDispatcher";
import { createStartupGate } from "./createStartupGate";
import { EntryOptions } from "./EntryOptions";
import { getAuthenticatedSubscriber } from "./getAuthenticatedSubscriber";
import { getCallerRoute } from "./getCallerRoute";
import { getModelList } from "./getModelList";
import { getRequestPriority } from "./getRequestPriority";
import { createAdmissionGate, InvalidInputLimiter, RefusalSender } from "./intake";
import { limitRequest } from "./limitRequest";
import { observeUsage } from "./observeUsage";
import { RequestHandler } from "./RequestHandler";
import { sendCompletion } from "./sendCompletion";
import { sendServiceResponse } from "./sendServiceResponse";

const maximumBytesInFlight = 134_217_728;
const assumedBodyBytes = 65_536;
const retryAfterMilliseconds = 1_000;

/**
 * Creates the handler of an entry's requests.
 * @param options - The entry's options.
 * @param refusalSender - Refuses requests that are not dispatched.
 * @param inputLimiter - Limits invalid requests.
 * @param turns - The turns in which callers' connections are read.
 */
export function createRequestHandler(
    options: EntryOptions,
    refusalSender: RefusalSender,
    inputLimiter: InvalidInputLimiter,
    turns: ConnectionTurns,
): RequestHandler {
    const { clock, configuration, logger, metrics, settings } = options;
    const dispatcher = createRequestDispatcher(options);
    const startupGate = createStartupGate(options);
    const admissionGate = createAdmissionGate({
        maximumRequests: settings.maximumRequestsInFlight,
        maximumBytes: maximumBytesInFlight,
    });
    const memory = createRequestMemory({
        getMaximumBytes: () => maximumBytesInFlight,
        pollConnections,
        clock,
        metrics,
        logger,
    });
    return {
        handle,
        hasBeenReady: startupGate.isOpen,
        waitUntilReady: startupGate.waitUntilOpen,
        getTasksInFlight: dispatcher.getTasksInFlight,
    };

    async function handle(request: IncomingMessage, response: ServerResponse, requestId: string): Promise<void> {
        const hasConfiguration = startupGate.isOpen() || await startupGate.waitUntilOpen();
        if (!hasConfiguration) {
            const message = "This entry has no settings yet.";
            const details = { reason: RefusalReason.STALE_SETTINGS, message, retryAfterMilliseconds };
            refusalSender.send(request, response, requestId, details);
            return;
        }
        const subscriber = getAuthenticatedSubscriber(request, configuration);
        if (subscriber === undefined) {
            refuse(RefusalReason.INVALID_KEY, "The key is missing or not known.");
            return;
        }
        const route = getCallerRoute(request.method ?? "", request.url ?? "");
        switch (route.kind) {
            case "models":
                sendModels(response, subscriber);
                return;
            case "notFound":
                refuse(RefusalReason.NOT_FOUND, "There is nothing at this path.");
                return;
            case "completion":
            case "service":
                return handleWork(request, response, requestId, subscriber);
            default:
                return assertNever(route);
        }

        function refuse(reason: RefusalReason, message: string): void {
            const details = { reason, message, retryAfterMilliseconds: 0 };
            refusalSender.send(request, response, requestId, details, subscriber?.workspace);
        }
    }

    /** Handles a completion request or service call, where the entry has capacity for it. */
    async function handleWork(
        request: IncomingMessage,
        response: ServerResponse,
        requestId: string,
        subscriber: Subscriber,
    ): Promise<void> {
        const { workspace } = subscriber;
        if (inputLimiter.isWorkspaceBlocked(request.socket, workspace)) {
            const message = "This workspace has sent too many invalid requests.";
            const details = { reason: RefusalReason.TOO_MANY_INVALID, message, retryAfterMilliseconds };
            refusalSender.send(request, response, requestId, details, workspace);
            return;
        }
        const release = reserveCapacity(request, subscriber);
        if (release === undefined) {
            const message = "This entry has too much in flight.";
            const details = { reason: RefusalReason.OVERLOADED, message, retryAfterMilliseconds };
            refusalSender.send(request, response, requestId, details, workspace);
            return;
        }
        try {
            await admitAndRespond(request, response, requestId, subscriber);
        }
        finally {
            release();
        }
    }

    /**
     * Reserves capacity for a request by its declared length.
     * @returns The function that releases the capacity; undefined where the entry is full.
     */
    function reserveCapacity(request: IncomingMessage, subscriber: Subscriber): (() => void) | undefined {
        const { values } = configuration.getEffectiveSettings(subscriber.path);
        const declaredBytes = Number(request.headers["content-length"] ?? assumedBodyBytes);
        const reservedBytes = Math.min(declaredBytes, settings.maximumBodyBytes);
        return admissionGate.tryAcquire(getRequestPriority(request, values.priority), reservedBytes);
    }

    /** Admits a request, applies the rate limits and sends the response. */
    async function admitAndRespond(
        request: IncomingMessage,
        response: ServerResponse,
        requestId: string,
        subscriber: Subscriber,
    ): Promise<void> {
        const admission = await admitRequest(options, { request, response }, requestId, subscriber, {
            memory,
            turns,
        });
        if (admission.kind === "refused") {
            refusalSender.send(request, response, requestId, admission.refusal, subscriber.workspace);
            return;
        }
        const limited = limitRequest(options, admission.request);
        if (limited.kind === "refused") {
            refusalSender.send(request, response, requestId, limited.refusal, subscriber.workspace);
            return;
        }
        try {
            await respond(response, admission.request, limited.finish);
        }
        finally {
            limited.finish();
        }
    }

    async function respond(
        response: ServerResponse,
        admitted: AdmittedRequest,
        onUsage: (tokens: number) => void,
    ): Promise<void> {
        const callerDisconnected = new AbortController();
        response.on("close", () => callerDisconnected.abort());
        const events = observeUsage(dispatcher.run(admitted, callerDisconnected.signal), onUsage);
        const refusal = admitted.work.kind === "completion"
            ? await sendCompletion(options, response, admitted.requestId, admitted.work.request, events)
            : await sendServiceResponse(options, response, admitted.requestId, events);
        if (refusal === undefined) {
            metrics.addCount(CounterName.CompletedRequests);
            return;
        }
        metrics.countRefusal(refusal.reason);
    }

    /** Sends the list of models that a subscriber may use. */
    function sendModels(response: ServerResponse, subscriber: Subscriber): void {
        response.setHeader("content-type", "application/json");
        response.end(JSON.stringify(getModelList(configuration.getEffectiveSettings(subscriber.path))));
    }
}
