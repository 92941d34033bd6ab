/*
 * Polls control members over Connect RPC.
 */
import { createClient } from "@connectrpc/connect";
import { getErrorMessage } from "../errors";
import { FeedService, PeerTransports, PollRequest } from "../protocol";
import { FeedClient } from "./FeedClient";
import { PollResult } from "./PollResult";

/**
 * Creates the feed client of an entry process.
 * @param transports - The connections to other processes.
 */
export function createFeedClient(transports: PeerTransports): FeedClient {
    return { poll };

    async function poll(
        address: string,
        request: PollRequest,
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<PollResult> {
        try {
            // An address that is none, which the settings may name, fails as one that doesn't respond.
            const client = createClient(FeedService, transports.getTransport(address));
            return { kind: "answered", response: await client.poll(request, { timeoutMs, signal }) };
        }
        catch (thrown) {
            return { kind: "failed", reason: getErrorMessage(thrown) };
        }
    }
}
