/*
 * The entry's way to the control members.
 */
import { PollRequest } from "../protocol";
import { PollResult } from "./PollResult";

/** Sends polls to control members. */
export interface FeedClient {
    /**
     * Polls one member.
     * @param address - The member's internal address.
     * @param request - What the entry holds.
     * @param timeoutMilliseconds - When the poll is given up, in milliseconds.
     */
    poll(address: string, request: PollRequest, timeoutMilliseconds: number): Promise<PollResult>;
}
