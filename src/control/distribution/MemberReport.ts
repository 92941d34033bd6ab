/*
 * What the leader knows of one run of a control member.
 */
import { LeaseHolder } from "../../protocol";

/** The newest that a control member has reported of itself and of the processes that may hold leases from it. */
export interface MemberReport {
    /** The member's identity. */
    memberId: string;
    /** The member's address. */
    address: string;
    /** The name of the member's run. */
    incarnation: string;
    /** The number of the newest message. */
    number: bigint;
    /** The lowest revision for which the member gives leases from now on. */
    revision: bigint;
    /** Until when the leader counts the member's own lease, on the monotonic clock. */
    leaseAssumedUntilMilliseconds: number;
    /** Whether the member gives no leases any more. */
    hasStopped: boolean;
    /** Whether no lease of a former run of the member can still run. */
    coversFormerRun: boolean;
    /** The processes that may hold leases from the member. */
    holders: Map<string, LeaseHolder>;
}
