/*
 * The RPC service that entry processes poll.
 */
import type { ConnectRouter } from "@connectrpc/connect";
import { FeedService } from "../protocol";
import { FeedHandler } from "./FeedHandler";

/**
 * Adds the feed service to a router.
 * @param router - The router of the internal server.
 * @param handler - Answers the polls.
 */
export function addFeedService(router: ConnectRouter, handler: FeedHandler): void {
    router.service(FeedService, { poll: request => handler.poll(request) });
}
