/*
 * What a leader knows of another member.
 */

/** How far another member has come, as its leader knows. */
export interface PeerProgress {
    /** The identity of the member's disk. */
    readonly memberId: string;
    /** The member's address. */
    readonly address: string;
    /** The next entry to send. */
    nextIndex: bigint;
    /** The last entry known to be on the member's disk. */
    matchIndex: bigint;
    /** The commit index that was sent last. */
    lastSentCommitIndex: bigint;
    /** When the newest message that was answered had been sent, in monotonic milliseconds; undefined where none was. */
    acknowledgedSendMilliseconds: number | undefined;
    /** When that was by the wall clock, which goes on while a machine is suspended. */
    acknowledgedSendWallMilliseconds: number;
    /** When the newest message was sent, in monotonic milliseconds. */
    lastSendMilliseconds: number;
    /** Whether the address answers under another identity: the disk was emptied. */
    isReplaced: boolean;
    /** Whether the member left the group, so that its task ends. */
    isRemoved: boolean;
}
