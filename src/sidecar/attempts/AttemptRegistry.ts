/*
 * The attempts and fencing tokens that a sidecar has seen.
 */
import { DispatchRequest, FencingNumber, ForbidAttemptResponse } from "../../protocol";
import { Attempt } from "./Attempt";
import { BeginOutcome } from "./BeginOutcome";

/** Lets every fencing token run at most once, and retains attempts so that their event streams can be resumed. */
export interface AttemptRegistry {
    /** Registers a dispatched attempt, and decides whether this delivery of it may run. */
    begin(request: DispatchRequest): BeginOutcome;
    /** Marks an attempt as ended after its last event, so that it is removed after its retention time. */
    end(attempt: Attempt): void;
    /** Gets an attempt that is still registered. */
    getAttempt(requestId: string, attempt: number): Attempt | undefined;
    /**
     * Forbids a fencing token permanently if it has never been seen; otherwise reports the state of its attempt.
     * @param claim - The claim's fencing token.
     * @param sidecarIncarnation - The sidecar incarnation that the claim names.
     */
    forbid(claim: FencingNumber, sidecarIncarnation: string): ForbidAttemptResponse;
    /** Starts the timeout after which an attempt without a claim is cancelled if it still has no follower. */
    startUnfollowedTimeout(attempt: Attempt): void;
    /** Gets the number of attempts that have not ended. */
    getRunningCount(): number;
}
