/*
 * A transport for a process that must not be connected to.
 */
import { Code, ConnectError, type Transport } from "@connectrpc/connect";

/**
 * Creates a transport on which every call fails with `PermissionDenied` before anything is sent.
 * @param reason - Why the process must not be connected to; the message of the error.
 */
export function createRefusingTransport(reason: string): Transport {
    return { unary: refuse, stream: refuse };

    function refuse(): Promise<never> {
        return Promise.reject(new ConnectError(reason, Code.PermissionDenied, { "basilwing-run": "no" }));
    }
}
