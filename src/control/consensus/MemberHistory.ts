/*
 * The group's members over the course of the log.
 */
import { Member, MemberSet } from "../../protocol";

/** The members as each entry of the log left them; the newest count, committed or not. */
export interface MemberHistory {
    /** Gets the newest members. */
    getCurrent(): MemberSet;
    /** Gets the index of the entry that set the newest members; 0 where none did. */
    getCurrentIndex(): bigint;
    /** Gets the members as they were at an index. */
    getAt(index: bigint): MemberSet;
    /** Gets the newest members that vote. */
    getVoters(): readonly Member[];
    /** Gets a member by identity. */
    getMember(memberId: string): Member | undefined;
    /** Sets the members as an entry says. */
    addMembers(index: bigint, members: MemberSet): void;
    /** Forgets what the entries from an index on said. */
    truncateFrom(index: bigint): void;
    /** Forgets what the entries before an index said, but for the last of it. */
    discardBefore(index: bigint): void;
    /** Replaces the whole history by the members of a snapshot. */
    reset(index: bigint, members: MemberSet): void;
}
