/*
 * The right to act on the configuration held, for a time.
 */
import { LeaseGrant } from "../protocol";
import { ClockReading } from "./ClockReading";

/** The lease that the control members gave to this process. */
export interface ProcessLease {
    /**
     * Takes in a grant.
     * @param grant - What the control member answered.
     * @param requestedAt - When the request was sent that the grant answers.
     */
    addGrant(grant: LeaseGrant, requestedAt: ClockReading): void;
    /** Gets how long the lease still runs, in milliseconds; 0 where it has lapsed. */
    getRemainingMilliseconds(): number;
    /** Gets the lowest revision that may be served under the lease. */
    getRequiredRevision(): bigint;
    /** Tells whether the process has held a lease since it started. */
    hasBeenGranted(): boolean;
}
