/*
 * The RPC service between the members of a replicated log.
 */
import { Code, ConnectError, ConnectRouter } from "@connectrpc/connect";
import { AppendRequest, AppendResponse, ConsensusService } from "../../protocol";
import { ConsensusHandlers } from "./ConsensusHandlers";

/**
 * Adds a member's consensus service to a router.
 * @param router - The router of the internal server.
 * @param handlers - The member's handlers.
 */
export function addConsensusService(router: ConnectRouter, handlers: ConsensusHandlers): void {
    router.service(ConsensusService, {
        requestVote: async request => getResponseOrThrow(await handlers.handleVote(request)),
        appendEntries: requests => handleAppendStream(requests),
        heartbeat: async request => getResponseOrThrow(await handlers.handleHeartbeat(request)),
        installSnapshot: async part => getResponseOrThrow(await handlers.handleSnapshotPart(part)),
        join: async request => getResponseOrThrow(await handlers.handleJoin(request)),
        readIndex: async request => getResponseOrThrow(await handlers.handleReadIndex(request)),
        getLeadership: async request => getResponseOrThrow(await handlers.handleLeadership(request)),
    });

    /** Handles a leader's messages in order, one at a time. */
    async function* handleAppendStream(requests: AsyncIterable<AppendRequest>): AsyncIterable<AppendResponse> {
        for await (const request of requests) {
            yield getResponseOrThrow(await handlers.handleAppend(request));
        }
    }
}

/** Returns a response, or throws the RPC error Unavailable where the member has stopped. */
function getResponseOrThrow<T>(response: T | undefined): T {
    if (response === undefined) {
        throw new ConnectError("The member has stopped", Code.Unavailable);
    }
    return response;
}
