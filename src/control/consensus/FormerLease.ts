/*
 * The lease that a leader may have had when the member restarted.
 */
import { LeadershipRequest, LeadershipResponse } from "../../protocol";

/** Ends the time early for which a restarted member refuses votes. */
export interface FormerLease {
    /** Asks the members that are not known yet to lead no longer; returns at once where no former lease may hold. */
    check(): Promise<void>;
    /** Handles another restarted member's question whether this member leads. */
    handleLeadership(request: LeadershipRequest): Promise<LeadershipResponse | undefined>;
}
