/*
 * What a sidecar has seen of attempts.
 */
import { DispatchRequest, FencingNumber, ForbidAttemptResponse } from "../../protocol";
import { Attempt } from "./Attempt";
import { BeginOutcome } from "./BeginOutcome";

/** Lets every claim's number run once at most, and keeps answers for those who come back for them. */
export interface AttemptRegistry {
    /** Notes a dispatched attempt, and says whether this delivery of it may run. */
    begin(request: DispatchRequest): BeginOutcome;
    /** Notes that an attempt's last event has been added, so that it is forgotten in time. */
    end(attempt: Attempt): void;
    /** Gets an attempt that is still remembered. */
    getAttempt(requestId: string, attempt: number): Attempt | undefined;
    /**
     * Forbids a number that was never seen, for good; else tells what is known of it.
     * @param claim - The claim's number.
     * @param sidecarIncarnation - The incarnation that the claim names.
     */
    forbid(claim: FencingNumber, sidecarIncarnation: string): ForbidAttemptResponse;
    /** Notes that nobody follows an attempt any more; it is given up unless someone comes back in time. */
    startUnfollowedTimeout(attempt: Attempt): void;
    /** Gets how many attempts have not ended. */
    getRunningCount(): number;
}
