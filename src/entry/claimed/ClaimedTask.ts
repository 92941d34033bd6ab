/*
 * The state of one request that may not be repeated, while a task runs it.
 */
import { RunEvidence } from "../../outcome";
import { AdmittedRequest } from "../AdmittedRequest";
import { RequestState } from "../RequestState";
import { ResponseChannel } from "./ResponseChannel";

/** The task of one claimed request. */
export interface ClaimedTask {
    /** The request to run. */
    readonly request: AdmittedRequest;
    /** The caller's idempotency key, or one that is derived from the request id. */
    readonly idempotencyKey: string;
    /** The state that the request's attempts share. */
    readonly state: RequestState;
    /** Carries the response to the caller's request handler. */
    readonly channel: ResponseChannel;
    /** Ends the task without settling the claim, so that the request's outcome stays unrecorded. */
    readonly signal: AbortSignal;
    /** The last observation of whether the request ran. */
    evidence: RunEvidence;
    /** Whether the caller has received a refusal because the deadline passed; nothing is dispatched after that. */
    hasRefusedCaller: boolean;
}
