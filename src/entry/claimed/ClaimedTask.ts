/*
 * One request that may not be repeated, while it is being run.
 */
import { RunEvidence } from "../../outcome";
import { AdmittedRequest } from "../AdmittedRequest";
import { AttemptState } from "../AttemptState";
import { ResponseChannel } from "./ResponseChannel";

/** The task of one claimed request. */
export interface ClaimedTask {
    /** The request. */
    readonly request: AdmittedRequest;
    /** The caller's key, or one made for the request. */
    readonly idempotencyKey: string;
    /** What its attempts have in common. */
    readonly state: AttemptState;
    /** Where its answer goes. */
    readonly channel: ResponseChannel;
    /** Ends the task; what became of the request stays open in its claim then. */
    readonly signal: AbortSignal;
    /** What is known of whether it ran. */
    evidence: RunEvidence;
    /** Whether the caller has been told how the request ended; from then on nothing more is dispatched. */
    hasRefusedCaller: boolean;
}
