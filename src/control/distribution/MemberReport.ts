/*
 * The state that the leader keeps of one run of a control member.
 */
import { LeaseHolder } from "../../protocol";

/** The newest report of a control member about itself and the processes that may hold leases from it. */
export interface MemberReport {
    /** The member's id. */
    memberId: string;
    /** The member's internal address, as `ip:port`. */
    address: string;
    /** The member's incarnation. */
    incarnation: string;
    /** The number of the newest message; messages of one run are numbered in ascending order. */
    number: bigint;
    /** The lowest configuration revision for which the member grants leases from now on. */
    revision: bigint;
    /** Until when the leader assumes that the member's own lease runs, in milliseconds of the monotonic clock. */
    leaseAssumedUntilMilliseconds: number;
    /** Whether the member has stopped granting leases. */
    hasStopped: boolean;
    /** Whether all leases that a former run of the member granted are over. */
    coversFormerRun: boolean;
    /** The processes that may hold leases from the member, by the key that `getHolderKey` returns. */
    holders: Map<string, LeaseHolder>;
}
