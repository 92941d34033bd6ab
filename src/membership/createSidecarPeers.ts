/*
 * Requests state from sidecars over the connections to other processes.
 */
import { createClient } from "@connectrpc/connect";
import { CompanionService, PeerTransports } from "../protocol";
import { SidecarPeers } from "./SidecarPeers";

const confirmationTimeoutMilliseconds = 1_000;
const fetchTimeoutMilliseconds = 10_000;

/**
 * Creates a client for the sidecars' state.
 * @param transports - The connections to other processes.
 */
export function createSidecarPeers(transports: PeerTransports): SidecarPeers {
    return {
        requestConfirmation: (address, request) =>
            getResponse(getClient(address).vouch(request, { timeoutMs: confirmationTimeoutMilliseconds })),
        fetchState: (address, request) =>
            getResponse(getClient(address).fetchState(request, { timeoutMs: fetchTimeoutMilliseconds })),
    };

    function getClient(address: string) {
        return createClient(CompanionService, transports.getTransport(address));
    }
}

/** Gets the response, or undefined if the call failed. */
async function getResponse<T>(call: Promise<T>): Promise<T | undefined> {
    try {
        return await call;
    }
    catch {
        return undefined;
    }
}
