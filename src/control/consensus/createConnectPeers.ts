/*
 * Sends messages to other members over ConnectRPC.
 */
import { Client, createClient } from "@connectrpc/connect";
import { ConsensusService, PeerTransports } from "../../protocol";
import { AppendStream } from "./AppendStream";
import { ConsensusPeers } from "./ConsensusPeers";
import { createAppendStream } from "./createAppendStream";

const defaultTimeoutMilliseconds = 1_000;
const snapshotTimeoutMilliseconds = 10_000;
const joinTimeoutMilliseconds = 5_000;

/**
 * Creates a client of the other members, which keeps one connection and one append stream for each address.
 * @param transports - The connections to other processes.
 * @param timeoutMilliseconds - How long to wait for responses, in milliseconds, except to snapshot parts and join
 *   requests.
 */
export function createConnectPeers(
    transports: PeerTransports,
    timeoutMilliseconds = defaultTimeoutMilliseconds,
): ConsensusPeers {
    const clients = new Map<string, Client<typeof ConsensusService>>();
    const appendStreams = new Map<string, AppendStream>();
    const timeoutMs = timeoutMilliseconds;
    return {
        requestVote: (address, request) => getResponse(getClient(address).requestVote(request, { timeoutMs })),
        appendEntries: (address, request) => getAppendStream(address).send(request),
        sendHeartbeat: (address, request) => getResponse(getClient(address).heartbeat(request, { timeoutMs })),
        installSnapshot: (address, part) => {
            return getResponse(getClient(address).installSnapshot(part, { timeoutMs: snapshotTimeoutMilliseconds }));
        },
        requestJoin: (address, request) => {
            return getResponse(getClient(address).join(request, { timeoutMs: joinTimeoutMilliseconds }));
        },
        requestReadIndex: (address, request) => getResponse(getClient(address).readIndex(request, { timeoutMs })),
        requestLeadership: (address, request) => getResponse(getClient(address).getLeadership(request, { timeoutMs })),
    };

    function getAppendStream(address: string): AppendStream {
        const stream = appendStreams.get(address) ?? createAppendStream(getClient(address), timeoutMilliseconds);
        appendStreams.set(address, stream);
        return stream;
    }

    function getClient(address: string): Client<typeof ConsensusService> {
        const client = clients.get(address) ?? createClient(ConsensusService, transports.getTransport(address));
        clients.set(address, client);
        return client;
    }
}

/** Awaits a response, and returns undefined where the call fails. */
async function getResponse<T>(response: Promise<T>): Promise<T | undefined> {
    try {
        return await response;
    }
    catch {
        return undefined;
    }
}
