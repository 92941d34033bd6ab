/*
 * Asks sidecars about their state over the connections to other processes.
 */
import { createClient } from "@connectrpc/connect";
import { CompanionService, PeerTransports } from "../protocol";
import { SidecarPeers } from "./SidecarPeers";

const vouchTimeoutMilliseconds = 1_000;
const fetchTimeoutMilliseconds = 10_000;

/**
 * Creates the way to ask sidecars.
 * @param transports - The connections to other processes.
 */
export function createSidecarPeers(transports: PeerTransports): SidecarPeers {
    return {
        vouch: (address, request) =>
            getAnswer(getClient(address).vouch(request, { timeoutMs: vouchTimeoutMilliseconds })),
        fetchState: (address, request) =>
            getAnswer(getClient(address).fetchState(request, { timeoutMs: fetchTimeoutMilliseconds })),
    };

    function getClient(address: string) {
        return createClient(CompanionService, transports.getTransport(address));
    }
}

/** Gets an answer, or undefined where the call failed. */
async function getAnswer<T>(call: Promise<T>): Promise<T | undefined> {
    try {
        return await call;
    }
    catch {
        return undefined;
    }
}
