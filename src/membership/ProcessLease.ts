/*
 * Declares the lease under which a process may act on its copy of the configuration.
 */
import { LeaseGrant } from "../protocol";
import { ClockReading } from "./ClockReading";

/** The lease that the control members granted to this process. */
export interface ProcessLease {
    /**
     * Applies a grant.
     * @param grant - The control member's response.
     * @param requestedAt - The clocks when the request for the grant was sent.
     */
    addGrant(grant: LeaseGrant, requestedAt: ClockReading): void;
    /** Gets the remaining time of the lease, in milliseconds; 0 once it has expired. */
    getRemainingMilliseconds(): number;
    /** Gets the lowest configuration revision that may be used under the lease. */
    getRequiredRevision(): bigint;
    /** Returns whether the process has been granted a lease since it started. */
    hasBeenGranted(): boolean;
}
