/*
 * The connection pools of clients of backend servers and of the platform, which may send bytes without end.
 */
import type { Socket } from "node:net";
import { Agent, buildConnector, Dispatcher } from "undici";
import { createResetCounter } from "./createResetCounter";
import { maximumHeaderBytes } from "./maximumHeaderBytes";
import { readInPieces } from "./readInPieces";
import { rejectInvalidResponses } from "./rejectInvalidResponses";

/** The options of `createBackendAgent`. */
interface BackendAgentOptions extends Omit<Agent.Options, "connect"> {
    /** The connection timeout, in milliseconds. */
    connectTimeoutMilliseconds?: number;
}

/**
 * Creates connection pools with limits on what a response's head and trailer may hold, which reject invalid responses.
 * @param options - Further options of undici's agent.
 */
export function createBackendAgent(
    { connectTimeoutMilliseconds, ...options }: BackendAgentOptions,
): Dispatcher {
    const connect = buildConnector({ timeout: connectTimeoutMilliseconds });
    const resets = createResetCounter();
    return new Agent({
        maxHeaderSize: maximumHeaderBytes,
        ...options,
        connect: (connectOptions, callback) => {
            connect(connectOptions, (...result) => {
                const socket = result[1] as Socket | null;
                if (socket) {
                    readInPieces(socket);
                    resets.watch(socket);
                }
                callback(...result);
            });
        },
    }).compose(rejectInvalidResponses(resets));
}
