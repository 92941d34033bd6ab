/*
 * Starts entry processes: an HTTP server with limits, and a graceful shutdown that waits for the requests in flight.
 */
import { randomUUID } from "node:crypto";
import { once } from "node:events";
import { IncomingMessage, Server, ServerResponse } from "node:http";
import { AddressInfo, Socket } from "node:net";
import { Duplex } from "node:stream";
import { setImmediate } from "node:timers/promises";
import { assertNever, getErrorMessage } from "../errors";
import { CounterName, GaugeName } from "../metrics";
import { getRunState } from "../outcome";
import { RefusalReason } from "../protocol";
import { createReadingTurns, limitReadingTurns } from "../requestMemory";
import { createRequestQueue } from "../requestQueue";
import { breakOffResponse } from "../runtime";
import { createHttpServer } from "../security";
import { createRequestHandler } from "./createRequestHandler";
import { Entry } from "./Entry";
import { EntryOptions } from "./EntryOptions";
import { createInvalidInputLimiter, createRefusalSender, getClientErrorRefusal, writeRawRefusal } from "./intake";
import { waitForFinish } from "./waitForFinish";

const drainPollMilliseconds = 20;
const retryAfterDrainMilliseconds = 1_000;
const timeoutCheckMilliseconds = 500;
const lingeringCloseMilliseconds = 2_000;
const startPollMilliseconds = 100;

/** An HTTP request that is being served. */
interface RequestInFlight {
    request: IncomingMessage;
    response: ServerResponse;
    requestId: string;
    /** Aborted when the caller's connection has closed. */
    connectionClosed: AbortController;
}

/** How the wait of a request before it is handled ends. */
type QueueOutcome =
    | { kind: "started"; }
    | { kind: "refused"; retryAfterMilliseconds: number; }
    | { kind: "callerLeft"; };

/** Starts an entry process; resolves when it accepts connections. */
export async function startEntry(options: EntryOptions): Promise<Entry> {
    const { clock, listener, logger, metrics, settings } = options;
    const inputLimiter = createInvalidInputLimiter(clock);
    const inFlight = new Set<RequestInFlight>();
    const sockets = new Set<Socket>();
    const queue = createRequestQueue({ waitForTurn: setImmediate, clock, logger, metrics });
    let isDraining = false;
    let isClosing = false;
    const server = createServer();
    const connectionEvent = options.identity === undefined ? "connection" : "secureConnection";
    const readingTurns = createReadingTurns({ waitForTurn: setImmediate, clock, metrics, logger });
    const turns = limitReadingTurns(server, readingTurns, connectionEvent);
    const refusalSender = createRefusalSender(clock, metrics, inputLimiter, turns);
    const handler = createRequestHandler(options, refusalSender, inputLimiter, turns);
    server.listen(listener.port, listener.address);
    await once(server, "listening");
    const { address, port } = server.address() as AddressInfo;
    metrics.addGauge(GaugeName.RequestsInFlight, () => inFlight.size);
    void waitUntilReady();
    return {
        address: `${address}:${port}`,
        isReady: () => !isDraining && handler.hasBeenReady(),
        getRequestsInFlight,
        stop,
    };

    /** Waits until the entry can serve, so that it becomes ready also before the first request arrives. */
    async function waitUntilReady(): Promise<void> {
        while (!handler.hasBeenReady() && !isClosing) {
            await handler.waitUntilReady();
            await clock.sleep(startPollMilliseconds);
        }
    }

    function createServer(): Server {
        const created = createHttpServer(options.identity, {
            maxHeaderSize: settings.maximumHeaderBytes,
            requestTimeout: settings.requestTimeoutMilliseconds,
            headersTimeout: settings.requestTimeoutMilliseconds,
            keepAliveTimeout: settings.idleTimeoutMilliseconds,
            connectionsCheckingInterval: timeoutCheckMilliseconds,
        }, (request, response) => void serve(request, response));
        created.maxConnections = settings.maximumConnections;
        created.on("clientError", refuseMalformedInput);
        created.on(options.identity === undefined ? "connection" : "secureConnection", (socket: Socket) => {
            sockets.add(socket);
            queue.recordConnection();
            socket.on("end", () => abortRequests(socket));
            socket.on("close", () => {
                sockets.delete(socket);
                abortRequests(socket);
            });
        });
        return created;
    }

    /** Aborts the requests of a connection whose caller has ended it. */
    function abortRequests(socket: Socket): void {
        for (const { connectionClosed, request } of inFlight) {
            if (request.socket === socket) {
                connectionClosed.abort();
            }
        }
    }

    function getRequestsInFlight(): number {
        return inFlight.size + handler.getTasksInFlight();
    }

    /** Serves one request; the HTTP server does not wait for it. */
    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const requestId = randomUUID();
        const current: RequestInFlight = { request, response, requestId, connectionClosed: new AbortController() };
        inFlight.add(current);
        metrics.addCount(CounterName.Requests);
        try {
            await serveOrRefuse(current);
        }
        catch (error) {
            logger.error({ requestId, problem: getErrorMessage(error) }, "request failed unexpectedly");
            breakOffResponse(response);
        }
        finally {
            await waitForFinish(clock, response, current.connectionClosed.signal);
            inFlight.delete(current);
        }
    }

    /** Serves a request, or refuses it where the entry no longer accepts requests. */
    async function serveOrRefuse(current: RequestInFlight): Promise<void> {
        const { request, requestId, response } = current;
        if (isDraining) {
            response.setHeader("connection", "close");
        }
        if (isClosing) {
            const message = "This entry is stopping.";
            const details = {
                reason: RefusalReason.DRAINING,
                message,
                retryAfterMilliseconds: retryAfterDrainMilliseconds,
            };
            refusalSender.send(request, response, requestId, details);
            return;
        }
        const outcome = await waitInQueue(current);
        switch (outcome.kind) {
            case "started":
                await handler.handle(request, response, requestId);
                break;
            case "refused": {
                const message = "This entry is overloaded.";
                const reason = RefusalReason.OVERLOADED;
                const { retryAfterMilliseconds } = outcome;
                refusalSender.send(request, response, requestId, { reason, message, retryAfterMilliseconds });
                break;
            }
            case "callerLeft":
                response.destroy();
                break;
            default:
                assertNever(outcome);
        }
    }

    function waitInQueue({ connectionClosed }: RequestInFlight): Promise<QueueOutcome> {
        return new Promise(resolve =>
            queue.add({
                callerMilliseconds: undefined,
                signal: connectionClosed.signal,
                start: () => resolve({ kind: "started" }),
                refuse: retryAfterMilliseconds => resolve({ kind: "refused", retryAfterMilliseconds }),
                drop: () => resolve({ kind: "callerLeft" }),
            })
        );
    }

    /** Refuses input that the HTTP parser rejects; where a request is in flight on the connection, as its response. */
    function refuseMalformedInput(error: Error, socket: Duplex): void {
        const details = getClientErrorRefusal(error);
        if (details === undefined || !socket.writable) {
            socket.destroy();
            return;
        }
        const current = [...inFlight].find(({ request }) => request.socket === socket);
        if (current === undefined) {
            metrics.countRefusal(details.reason);
            const runState = getRunState({ kind: "refusedAtEntry", mayHaveRunBefore: false });
            writeRawRefusal(socket, { ...details, runState }, randomUUID());
            void clock.sleep(lingeringCloseMilliseconds).then(() => socket.destroy());
            return;
        }
        const { request, requestId, response } = current;
        if (response.headersSent) {
            return;
        }
        response.setHeader("connection", "close");
        refusalSender.send(request, response, requestId, details);
    }

    /** Stops gracefully: reports not ready, then accepts no more requests, then waits for those in flight. */
    async function stop(): Promise<void> {
        const deadline = clock.getMonotonicMilliseconds() + settings.drainDeadlineMilliseconds;
        isDraining = true;
        for (const { response } of inFlight) {
            closeAfterResponse(response);
        }
        await clock.sleep(Math.min(settings.leaveMilliseconds ?? 0, settings.drainDeadlineMilliseconds));
        isClosing = true;
        const closed = once(server, "close");
        server.close();
        server.closeIdleConnections();
        while (getRequestsInFlight() > 0 && clock.getMonotonicMilliseconds() < deadline) {
            await clock.sleep(drainPollMilliseconds);
            server.closeIdleConnections();
        }
        sockets.forEach(socket => socket.destroy());
        await closed;
    }
}

/** Closes a connection after its response, so that the caller connects to another entry process. */
function closeAfterResponse(response: ServerResponse): void {
    if (!response.headersSent) {
        response.setHeader("connection", "close");
    }
}
