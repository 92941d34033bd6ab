/*
 * The client with which an entry process polls control members.
 */
import { PollRequest } from "../protocol";
import { PollResult } from "./PollResult";

/** Sends polls to control members. */
export interface FeedClient {
    /**
     * Polls one member. A failure is returned as a result, not thrown.
     * @param address - The member's internal address.
     * @param request - The versions that the entry process has.
     * @param timeoutMilliseconds - The time after which the poll fails, in milliseconds.
     * @param signal - Ends the poll, which fails then.
     */
    poll(
        address: string,
        request: PollRequest,
        timeoutMilliseconds: number,
        signal: AbortSignal,
    ): Promise<PollResult>;
}
