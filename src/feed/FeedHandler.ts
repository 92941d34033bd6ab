/*
 * The server side of the feed, at a control member.
 */
import { PollRequest, PollResponse } from "../protocol";

/** Answers polls. */
export interface FeedHandler {
    /**
     * Answers one poll, once the state differs from the requested one or the requested wait is over.
     * @param request - The versions that the entry process has, and how long to wait.
     */
    poll(request: PollRequest): Promise<PollResponse>;
    /** Makes the waiting polls check again for changes. */
    wakePolls(): void;
}
