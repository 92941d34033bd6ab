/*
 * The service through which members of a replicated log speak with each other.
 */
import { Code, ConnectError, ConnectRouter } from "@connectrpc/connect";
import { AppendRequest, AppendResponse, ConsensusService } from "../../protocol";
import { ConsensusHandlers } from "./ConsensusHandlers";

/**
 * Adds a member's service to a router.
 * @param router - The router.
 * @param handlers - The member.
 */
export function addConsensusService(router: ConnectRouter, handlers: ConsensusHandlers): void {
    router.service(ConsensusService, {
        requestVote: async request => getResponseOrThrow(await handlers.handleVote(request)),
        appendEntries: requests => handleAppendStream(requests),
        installSnapshot: async part => getResponseOrThrow(await handlers.handleSnapshotPart(part)),
        join: async request => getResponseOrThrow(await handlers.handleJoin(request)),
        readIndex: async request => getResponseOrThrow(await handlers.handleReadIndex(request)),
    });

    /** Answers a leader's messages one after the other. */
    async function* handleAppendStream(requests: AsyncIterable<AppendRequest>): AsyncIterable<AppendResponse> {
        for await (const request of requests) {
            yield getResponseOrThrow(await handlers.handleAppend(request));
        }
    }
}

/** Gets a response, or tells the caller that the member has stopped. */
function getResponseOrThrow<T>(response: T | undefined): T {
    if (response === undefined) {
        throw new ConnectError("The member has stopped", Code.Unavailable);
    }
    return response;
}
