/*
 * Sends messages to other members over ConnectRPC. A member's connections may fall silent for good, and elections and leases
 * allow only a few hundred milliseconds, so a call without a response after a part of that time has its connection checked,
 * and is made again if that was replaced.
 */
import { Client, createClient } from "@connectrpc/connect";
import { ConsensusService, PeerTransports } from "../../protocol";
import { detach } from "../../runtime";
import { AppendStream } from "./AppendStream";
import { ConsensusPeers } from "./ConsensusPeers";
import { createAppendStream } from "./createAppendStream";

const defaultTimeoutMilliseconds = 1_000;
const snapshotTimeoutMilliseconds = 10_000;
const joinTimeoutMilliseconds = 5_000;
/** How long a response may take until the connection is checked, in milliseconds. */
const checkMilliseconds = 125;

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
        requestVote: (address, request) => call(address, client => client.requestVote(request, { timeoutMs })),
        appendEntries: (address, request) => getAppendStream(address).send(request),
        sendHeartbeat: (address, request) => call(address, client => client.heartbeat(request, { timeoutMs })),
        installSnapshot: (address, part) => {
            return getResponse(getClient(address).installSnapshot(part, { timeoutMs: snapshotTimeoutMilliseconds }));
        },
        requestJoin: (address, request) => {
            return getResponse(getClient(address).join(request, { timeoutMs: joinTimeoutMilliseconds }));
        },
        requestReadIndex: (address, request) => call(address, client => client.readIndex(request, { timeoutMs })),
        requestLeadership: (address, request) => call(address, client => client.getLeadership(request, { timeoutMs })),
    };

    /** Makes a call, and once more if its connection was replaced; returns undefined where no response arrives. */
    async function call<T>(
        address: string,
        start: (client: Client<typeof ConsensusService>) => Promise<T>,
    ): Promise<T | undefined> {
        const first = getResponse(start(getClient(address)));
        if (await isSettledWithin(first, checkMilliseconds)) {
            return first;
        }
        // Checked for later calls, too, where this one ends meanwhile.
        const isReplaced = await Promise.race([first.then(() => false), transports.checkConnection(address)]);
        if (!isReplaced) {
            return first;
        }
        const second = getResponse(start(getClient(address)));
        return await Promise.race([first, second]) ?? await second ?? await first;
    }

    function getAppendStream(address: string): AppendStream {
        const stream = appendStreams.get(address) ?? createAppendStream({
            client: getClient(address),
            timeoutMilliseconds,
            checkMilliseconds,
            checkConnection: () => transports.checkConnection(address),
        });
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

/** Returns whether a promise settles within a time. */
function isSettledWithin(promise: Promise<unknown>, milliseconds: number): Promise<boolean> {
    return new Promise(resolve => {
        const timer = setTimeout(() => resolve(false), milliseconds);
        detach(promise.then(() => {
            clearTimeout(timer);
            resolve(true);
        }));
    });
}
