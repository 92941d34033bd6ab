/*
 * What a leader returns with the responses to polls besides documents, fleet views and facts.
 */
import { PollRequest, PollResponse } from "../protocol";

/** Reads polls, and adds fields to the responses. */
export interface ResponseExtension {
    /** Reads a poll when it arrives. */
    readPoll(request: PollRequest): void;
    /** Gets the fields of a response; called only after the read barrier of the response. */
    createResponseFields(request: PollRequest): Partial<Pick<PollResponse, "workspaceGrants">>;
}
