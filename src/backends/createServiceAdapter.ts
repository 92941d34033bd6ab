/*
 * An HTTP adapter for a plain service, based on the undici library. A call that is not idempotent gets a dedicated
 * connection: on a pooled connection that the service is closing at the same time, it would be unknown whether the
 * service has received the call.
 */
import type { Socket } from "node:net";
import { buildConnector, Client, Dispatcher } from "undici";
import { getErrorMessage } from "../errors";
import { ServiceWork } from "../protocol";
import { createSystemClock, runWithTimeout } from "../runtime";
import { createBackendAgent } from "./createBackendAgent";
import { createResetCounter } from "./createResetCounter";
import { FailureCause } from "./FailureCause";
import { getFailureCause } from "./getFailureCause";
import { maximumHeaderBytes } from "./maximumHeaderBytes";
import { readInPieces } from "./readInPieces";
import { readJsonBody } from "./readJsonBody";
import { rejectInvalidResponses } from "./rejectInvalidResponses";
import { ResetCounter } from "./ResetCounter";
import { ServiceAdapter } from "./ServiceAdapter";
import { ServiceAdapterOptions } from "./ServiceAdapterOptions";
import { ServiceEvent } from "./ServiceEvent";

const connectTimeoutMilliseconds = 2_000;
const keepAliveMilliseconds = 4_000;
const incarnationTimeoutMilliseconds = 2_000;
const hopByHopHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
]);

/** The connection of one call. */
interface Connection {
    dispatcher: Dispatcher;
    /** Returns whether any byte of the call may have been sent, given the error that it failed with. */
    hasSent(thrown: unknown): boolean;
    close(): Promise<void>;
}

/**
 * Creates an adapter for a plain service.
 * @param options - The service's address.
 */
export function createServiceAdapter(options: ServiceAdapterOptions): ServiceAdapter & { stop(): Promise<void>; } {
    const { address } = options;
    const clock = createSystemClock();
    const agent = createBackendAgent({
        connectTimeoutMilliseconds,
        keepAliveTimeout: keepAliveMilliseconds,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    return { call, getIncarnation, stop: () => agent.destroy() };

    async function* call(requestId: string, work: ServiceWork, signal: AbortSignal): AsyncGenerator<ServiceEvent> {
        if (signal.aborted) {
            const message = "The call was given up";
            yield { kind: "failed", hasSent: false, message, cause: FailureCause.Cancelled };
            return;
        }
        const connection = work.idempotent ? getPooledConnection(signal) : openDedicatedConnection(signal);
        try {
            const response = await connection.dispatcher.request({
                origin: address,
                method: work.method as Dispatcher.HttpMethod,
                path: work.path,
                headers: getRequestHeaders(requestId, work),
                body: work.body.length === 0 ? undefined : work.body,
                signal,
            });
            const echoedId = response.headers["x-request-id"];
            if (echoedId !== undefined && echoedId !== requestId) {
                yield createRequestIdMismatch();
                return;
            }
            yield { kind: "head", status: response.statusCode, headers: getResponseHeaders(response) };
            for await (const data of response.body as AsyncIterable<Uint8Array>) {
                yield { kind: "body", data };
            }
            yield { kind: "end" };
        }
        catch (error) {
            const cause = getFailureCause(error, signal);
            yield { kind: "failed", hasSent: connection.hasSent(error), message: getErrorMessage(error), cause };
        }
        finally {
            await connection.close();
        }
    }

    async function getIncarnation(signal?: AbortSignal): Promise<string | undefined> {
        try {
            return await runWithTimeout(clock, incarnationTimeoutMilliseconds, signal, readIncarnation);
        }
        catch {
            return undefined;
        }
    }

    async function readIncarnation(signal: AbortSignal): Promise<string | undefined> {
        const response = await agent.request({ origin: address, method: "GET", path: "/health", signal });
        const health = await readJsonBody(response.body) as { incarnation?: string; };
        return response.statusCode === 200 ? health.incarnation : undefined;
    }

    /** Gets the connection pool, for an idempotent call. */
    function getPooledConnection(signal: AbortSignal): Connection {
        return {
            dispatcher: agent,
            hasSent: thrown => getFailureCause(thrown, signal) !== FailureCause.Unreachable,
            close: () => Promise.resolve(),
        };
    }

    /** Opens a connection for one call and records whether it was established, so that bytes may have been sent. */
    function openDedicatedConnection(signal: AbortSignal): Connection {
        const resets = createResetCounter();
        let isConnected = false;
        const client = new Client(address, {
            pipelining: 0,
            maxHeaderSize: maximumHeaderBytes,
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: buildWatchedConnector(resets, () => isConnected ||= !signal.aborted),
        });
        const dispatcher = client.compose(rejectInvalidResponses(resets));
        return { dispatcher, hasSent: () => isConnected, close: () => client.destroy() };
    }
}

/** Builds undici's function that opens connections, whose resets are counted. */
function buildWatchedConnector(resets: ResetCounter, onConnected: () => void): buildConnector.connector {
    const connect = buildConnector({ timeout: connectTimeoutMilliseconds });
    return (options, callback) => {
        connect(options, (...result) => {
            const [, socket] = result;
            if (socket) {
                readInPieces(socket as Socket);
                resets.watch(socket as Socket);
                onConnected();
            }
            callback(...result);
        });
    };
}

function createRequestIdMismatch(): ServiceEvent {
    const message = "The answer bears the id of another request";
    return { kind: "failed", hasSent: true, message, cause: FailureCause.RequestIdMismatch };
}

/** Gets the headers to send: the caller's without hop-by-hop headers, and the request's id. */
function getRequestHeaders(requestId: string, work: ServiceWork): Record<string, string> {
    const headers: Record<string, string> = {};
    for (const { name, value } of work.headers) {
        if (!hopByHopHeaders.has(name.toLowerCase())) {
            headers[name.toLowerCase()] = value;
        }
    }
    headers["x-request-id"] = requestId;
    return headers;
}

/** Gets the response's headers without hop-by-hop headers. */
function getResponseHeaders(response: Dispatcher.ResponseData): { name: string; value: string; }[] {
    return Object.entries(response.headers).flatMap(([name, value]) => {
        if (value === undefined || hopByHopHeaders.has(name)) {
            return [];
        }
        const values = Array.isArray(value) ? value : [value];
        return values.map(item => ({ name, value: item }));
    });
}
