/*
 * The exchange of facts at a control member.
 */
import { PollRequest, PollResponse } from "../protocol";

/** Collects the facts of all entry processes, and distributes them. */
export interface FactHub {
    /** Reads the facts of a poll. */
    readPoll(request: PollRequest): void;
    /** Returns whether the entry process that polls lacks facts. */
    hasNewFacts(request: PollRequest): boolean;
    /** Gets the fields of the response to a poll. */
    createResponseFields(request: PollRequest): Pick<PollResponse, "factStoreId" | "factPosition" | "facts">;
}
