/*
 * Sends requests of a soak on keep-alive connections, which stay in use until the process at the other end is gone.
 */
import { Agent, ClientRequest, request as sendRequest } from "node:http";
import { createLimitedAgent, LimitedConnection } from "./createLimitedAgent";
import { RunTracker } from "./RunTracker";
import { SoakConnectionEnd } from "./SoakConnectionEnd";
import { SoakConnectionUse } from "./SoakConnectionUse";
import { SoakEndReason } from "./SoakEndReason";
import { soakModel } from "./soakModel";
import { soakRoutes } from "./soakRoutes";

/** How long a caller waits for a response, in milliseconds. */
const deadlineMilliseconds = 3_000;

/** A request of a caller. */
interface SoakRequest {
    /** The number of the entry process that it is sent to. */
    entryIndex: number;
    requestId: string;
    /** The beginning of the path. */
    prefix: string;
    /** The caller's key; undefined for none. */
    key: string | undefined;
    /** The shared parts of the prompt, each with its tokens. */
    promptParts: readonly string[];
    /** The body; by default one that names the request. */
    body?: string;
    /** When the caller leaves, in milliseconds after it has sent the request; it waits until its deadline otherwise. */
    leavesAfterMilliseconds?: number;
    /** Called as the caller leaves. */
    onLeaving?: () => void;
    /** More headers. */
    headers?: Record<string, string | number>;
}

/** The outcome of one request. */
export interface ExchangeOutcome {
    /** The HTTP status; 0 where no response arrived. */
    status: number;
    /** The seal that the backend server attached to the response. */
    seal: string;
    /** The body as far as it arrived. */
    text: string;
    /** Whether the body arrived in full. */
    isComplete: boolean;
    /** The time from the sending to the end, in milliseconds. */
    elapsedMilliseconds: number;
    /** How the connection ended where the answer isn't complete. */
    end: SoakConnectionEnd;
}

/** Sends requests. */
export interface SoakClient {
    /** How long it waits for a response, in milliseconds. */
    readonly deadlineMilliseconds: number;
    /** Sends a request, and waits for the end of the response or of the connection. */
    post(request: SoakRequest): Promise<ExchangeOutcome>;
    /** Closes the connections. */
    stop(): void;
}

/** The options of a client that stays within the limits of the documents. */
interface SoakClientOptions {
    /** Gets the limit in force, in milliseconds, by which it goes where the last response states a shorter one. */
    getIdleTimeoutMilliseconds?: () => number;
    /** Called when an entry process closes a connection that is idle. */
    onIdleClose: (entryIndex: number, connection: LimitedConnection) => void;
}

/**
 * Creates a client.
 * @param entryAddresses - Where callers reach the entry processes, as `ip:port`.
 * @param runTracker - Is told of each request; undefined for none.
 * @param options - The limits within which it stays; undefined where these never change. A client with limits closes a
 * connection at its deadline after the sending, others when the connection was silent for as long.
 */
export function createSoakClient(
    entryAddresses: readonly string[],
    runTracker: Pick<RunTracker, "recordRequest"> | undefined,
    options?: SoakClientOptions,
): SoakClient {
    const limitedAgents = options && entryAddresses.map((...[, entryIndex]) =>
        createLimitedAgent({
            getIdleTimeoutMilliseconds: options.getIdleTimeoutMilliseconds,
            onIdleClose: connection => options.onIdleClose(entryIndex, connection),
        })
    );
    const agents = limitedAgents?.map(({ agent }) => agent)
        ?? entryAddresses.map(() => new Agent({ keepAlive: true, maxSockets: 40 }));
    let count = 0;
    return {
        deadlineMilliseconds,
        post,
        stop: () =>
            (limitedAgents ?? agents.map(agent => ({ stop: () => agent.destroy() }))).forEach(agent => agent.stop()),
    };

    function post(request: SoakRequest): Promise<ExchangeOutcome> {
        const { entryIndex, requestId, prefix, key, promptParts } = request;
        const [host, port] = entryAddresses[entryIndex]!.split(":") as [string, string];
        count += 1;
        return new Promise(resolve => {
            const sentMilliseconds = Date.now();
            recordRequest(requestId, prefix, sentMilliseconds);
            const end = createOpenEnd();
            const outcome: ExchangeOutcome = {
                status: 0,
                seal: "",
                text: "",
                isComplete: false,
                elapsedMilliseconds: 0,
                end,
            };
            const finish = () => {
                outcome.elapsedMilliseconds = Date.now() - sentMilliseconds;
                end.remainingMilliseconds = deadlineMilliseconds - outcome.elapsedMilliseconds;
                resolve(outcome);
            };
            const clientRequest = sendRequest({
                agent: agents[entryIndex],
                host,
                port,
                method: "POST",
                path: `${prefix}1`,
                headers: {
                    "host": "soak.example",
                    "basilwing-request-id": requestId,
                    "basilwing-deadline-ms": deadlineMilliseconds,
                    "basilwing-model": soakModel,
                    "basilwing-token-usage": "600,8",
                    "basilwing-prefix-hash": [...promptParts, `${count.toString(16)}:100`].join(","),
                    ...key === undefined ? {} : { authorization: `Bearer ${key}` },
                    ...request.headers,
                },
            }, response => {
                outcome.status = response.statusCode ?? 0;
                const keepAlive = response.headers["keep-alive"];
                limitedAgents?.[entryIndex]!.recordResponse(response.socket, keepAlive?.toString());
                end.statedMilliseconds = limitedAgents?.[entryIndex]!.getConnection(response.socket).statedMilliseconds
                    ?? 0;
                outcome.seal = String(response.headers["basilwing-response-seal"]);
                response.setEncoding("utf8");
                response.on("data", (chunk: string) => outcome.text += chunk);
                response.on("end", () => outcome.isComplete = response.complete);
                response.on("error", () => undefined);
                response.on("close", finish);
            });
            clientRequest.on("socket", socket => {
                Object.assign(end, limitedAgents?.[entryIndex]!.getConnection(socket));
                end.port = socket.localPort;
                if (socket.connecting) {
                    end.reason = SoakEndReason.NeverConnected;
                    socket.once("connect", () => {
                        end.reason = SoakEndReason.Other;
                        end.port = socket.localPort;
                    });
                }
            });
            clientRequest.on("finish", () => end.isWhole = true);
            limitTime(clientRequest, () => end.reason = SoakEndReason.CallerLimit);
            clientRequest.on("error", error => {
                end.detail = error.message;
                end.reason = end.reason === SoakEndReason.Other ? getReason(error) : end.reason;
                finish();
            });
            clientRequest.on("close", finish);
            if (request.leavesAfterMilliseconds !== undefined) {
                const timer = setTimeout(() => {
                    request.onLeaving?.();
                    end.reason = SoakEndReason.CallerLeft;
                    clientRequest.destroy();
                }, request.leavesAfterMilliseconds);
                clientRequest.on("close", () => clearTimeout(timer));
            }
            clientRequest.end(request.body ?? JSON.stringify({ requestId }));
        });
    }

    function recordRequest(requestId: string, prefix: string, sentMilliseconds: number): void {
        const route = soakRoutes.find(soakRoute => soakRoute.prefix === prefix);
        if (route) {
            const { service, isStream, maximumAttempts } = route;
            runTracker?.recordRequest({
                requestId,
                service,
                isStream,
                maximumAttempts,
                sentMilliseconds,
                deadlineMilliseconds,
            });
        }
    }

    /** Closes the connection of a request at the caller's time limit. */
    function limitTime(clientRequest: ClientRequest, onLimit: () => void): void {
        const close = () => {
            onLimit();
            clientRequest.destroy();
        };
        if (!options) {
            clientRequest.setTimeout(deadlineMilliseconds, close);
            return;
        }
        const timer = setTimeout(close, deadlineMilliseconds);
        clientRequest.on("close", () => clearTimeout(timer));
    }
}

function createOpenEnd(): SoakConnectionEnd {
    return {
        reason: SoakEndReason.Other,
        detail: "",
        isWhole: false,
        remainingMilliseconds: deadlineMilliseconds,
        port: undefined,
        use: SoakConnectionUse.Fresh,
        idleMilliseconds: 0,
        statedMilliseconds: 0,
    };
}

function getReason(error: NodeJS.ErrnoException): SoakEndReason {
    if (error.message === "socket hang up") {
        return SoakEndReason.Ended;
    }
    if (error.code?.startsWith("HPE_") === true) {
        return SoakEndReason.InvalidBytes;
    }
    return error.code === "ECONNRESET" || error.code === "EPIPE" ? SoakEndReason.Reset : SoakEndReason.Other;
}
