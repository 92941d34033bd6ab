/*
 * A control member's own lease from the leader, out of which it gives leases to processes.
 */
import { StopwatchReading } from "../../membership";
import { ShareStateResponse } from "../../protocol";

/** The lease of one control member. */
export interface MemberLease {
    /**
     * Takes in the leader's answer.
     * @param requestedAt - When the message was sent that it answers.
     */
    applyResponse(response: ShareStateResponse, requestedAt: StopwatchReading): void;
    /** Gets how long leases given now may run, in milliseconds; 0 where none may be given. */
    getRemainingMilliseconds(): number;
    /** Gets the term of the leader who gave the lease. */
    getTerm(): bigint;
    /** Gives no leases any more. */
    end(): void;
}
