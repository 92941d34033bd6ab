/*
 * The member sets that the entries of the log define.
 */
import { Member, MemberSet } from "../../protocol";

/** The member set at each index of the log. The newest set is in effect, whether committed or not, as in Raft. */
export interface MemberHistory {
    /** Gets the newest member set. */
    getCurrent(): MemberSet;
    /** Gets the index of the entry that defined the newest member set; 0 where no entry did. */
    getCurrentIndex(): bigint;
    /** Gets the member set in effect at an index. */
    getAt(index: bigint): MemberSet;
    /** Gets the voters of the newest member set. */
    getVoters(): readonly Member[];
    /** Gets a member of the newest set by its identity. */
    getMember(memberId: string): Member | undefined;
    /** Adds the member set that an entry defines. */
    addMembers(index: bigint, members: MemberSet): void;
    /** Removes the member sets of the entries from an index on. */
    truncateFrom(index: bigint): void;
    /** Removes the member sets before an index, except the one in effect at the index. */
    discardBefore(index: bigint): void;
    /** Replaces the whole history with the member set of a snapshot. */
    reset(index: bigint, members: MemberSet): void;
}
