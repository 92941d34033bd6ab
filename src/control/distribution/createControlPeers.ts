/*
 * The calls to control members over RPC, each with a timeout.
 */
import { createClient } from "@connectrpc/connect";
import { getErrorMessage, hasErrorCode } from "../../errors";
import { ControlService, PeerTransports } from "../../protocol";
import { CallOutcome } from "./CallOutcome";
import { ControlPeers } from "./ControlPeers";

const executeTimeoutMilliseconds = 5_000;
const queryTimeoutMilliseconds = 5_000;
const shareTimeoutMilliseconds = 2_000;
const relayTimeoutMilliseconds = 2_000;
const waitTimeoutMarginMilliseconds = 2_000;
const maximumCauseDepth = 5;

/**
 * Creates the calls to control members.
 * @param transports - The connections to other processes.
 */
export function createControlPeers(transports: PeerTransports): ControlPeers {
    return {
        execute: (address, request, signal) =>
            toCallOutcome(getClient(address).execute(request, { timeoutMs: executeTimeoutMilliseconds, signal })),
        query: (address, request) =>
            toCallOutcome(getClient(address).query(request, { timeoutMs: queryTimeoutMilliseconds })),
        shareState: (address, request) =>
            toCallOutcome(getClient(address).shareState(request, { timeoutMs: shareTimeoutMilliseconds })),
        relay: (address, request) =>
            toCallOutcome(getClient(address).relay(request, { timeoutMs: relayTimeoutMilliseconds })),
        waitInForce: (address, request) => {
            const timeoutMs = request.waitMilliseconds + waitTimeoutMarginMilliseconds;
            return toCallOutcome(getClient(address).waitInForce(request, { timeoutMs }));
        },
    };

    function getClient(address: string) {
        return createClient(ControlService, transports.getTransport(address));
    }
}

/** Turns the result or the error of a call into an outcome. */
async function toCallOutcome<T>(call: Promise<T>): Promise<CallOutcome<T>> {
    try {
        return { kind: "answered", response: await call };
    }
    catch (error) {
        const kind = isConnectionRefused(error) ? "notSent" : "unknown";
        return { kind, reason: getErrorMessage(error) };
    }
}

/** Tells whether an error, or one of its causes, is a failure to connect. */
function isConnectionRefused(error: unknown): boolean {
    let cause = error;
    for (let depth = 0; depth < maximumCauseDepth && cause !== undefined; depth++) {
        if (hasErrorCode(cause, "ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH")) {
            return true;
        }
        cause = (cause as { cause?: unknown; }).cause;
    }
    return false;
}
