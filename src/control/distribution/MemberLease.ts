/*
 * The lease that a control member has from the leader. The leases that the member grants to processes end within it.
 */
import { ClockReading } from "../../membership";
import { ShareStateResponse } from "../../protocol";

/** The lease of one control member. */
export interface MemberLease {
    /**
     * Applies a response of the leader.
     * @param response - The response.
     * @param requestedAt - When the request was sent; the lease runs from then.
     */
    applyResponse(response: ShareStateResponse, requestedAt: ClockReading): void;
    /** Gets how long a lease that is granted now may run, in milliseconds; 0 if none may be granted. */
    getRemainingMilliseconds(): number;
    /** Gets the term of the leader that granted the lease. */
    getTerm(): bigint;
    /** Ends the lease: the member may grant no leases any more. */
    end(): void;
}
