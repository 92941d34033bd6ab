/*
 * The control member's end of the feed.
 */
import { PollRequest, PollResponse } from "../protocol";

/** Answers polls. */
export interface FeedHandler {
    /** Answers one poll, once there is news or its wait is over. */
    poll(request: PollRequest): Promise<PollResponse>;
    /** Wakes the polls that wait. */
    wakePolls(): void;
}
