/*
 * The identity of one run of a control member.
 */

/** The properties of a control member that don't change while it runs. */
export interface MemberIdentity {
    /** The name of the replicated log's group. */
    group: string;
    /** The member's id, which belongs to its disk and outlives restarts. */
    memberId: string;
    /** The member's internal address, as `ip:port`. */
    address: string;
    /** The incarnation, which names this run of the member. */
    incarnation: string;
}
