/*
 * Sends requests of a soak on keep-alive connections, which stay in use until the process at the other end is gone.
 */
import { Agent, request as sendRequest } from "node:http";
import { soakModel } from "./soakModel";

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

/**
 * Creates a client.
 * @param entryAddresses - Where callers reach the entry processes, as `ip:port`.
 */
export function createSoakClient(entryAddresses: readonly string[]): SoakClient {
    const agents = entryAddresses.map(() => new Agent({ keepAlive: true, maxSockets: 40 }));
    let count = 0;
    return { deadlineMilliseconds, post, stop: () => agents.forEach(agent => agent.destroy()) };

    function post(request: SoakRequest): Promise<ExchangeOutcome> {
        const { entryIndex, requestId, prefix, key, promptParts } = request;
        const [host, port] = entryAddresses[entryIndex]!.split(":") as [string, string];
        count += 1;
        return new Promise(resolve => {
            const outcome: ExchangeOutcome = { status: 0, seal: "", text: "", isComplete: false };
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
                outcome.seal = String(response.headers["basilwing-response-seal"]);
                response.setEncoding("utf8");
                response.on("data", (chunk: string) => outcome.text += chunk);
                response.on("end", () => outcome.isComplete = response.complete);
                response.on("error", () => undefined);
                response.on("close", () => resolve(outcome));
            });
            clientRequest.setTimeout(deadlineMilliseconds, () => clientRequest.destroy());
            clientRequest.on("error", () => resolve(outcome));
            clientRequest.on("close", () => resolve(outcome));
            if (request.leavesAfterMilliseconds !== undefined) {
                const timer = setTimeout(() => {
                    request.onLeaving?.();
                    clientRequest.destroy();
                }, request.leavesAfterMilliseconds);
                clientRequest.on("close", () => clearTimeout(timer));
            }
            clientRequest.end(request.body ?? JSON.stringify({ requestId }));
        });
    }
}
