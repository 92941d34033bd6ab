/*
 * The leader's replication state for one peer.
 */
import { SentMessage } from "./SentMessage";

/** The replication progress of one peer. */
export interface PeerProgress {
    /** The peer's identity, which is tied to its disk. */
    readonly memberId: string;
    /** The peer's address. */
    readonly address: string;
    /** When the leader began to replicate to the peer, in monotonic milliseconds. */
    readonly addedMilliseconds: number;
    /** The index of the next entry to send. */
    nextIndex: bigint;
    /** The index of the last entry known to be on the peer's disk. */
    matchIndex: bigint;
    /** The last index in a message without a response; the peer may still be storing it. Undefined after a response. */
    unansweredIndex: bigint | undefined;
    /** The commit index in the last message. */
    lastSentCommitIndex: bigint;
    /** When the newest acknowledged message was sent, in monotonic milliseconds; undefined before the first one. */
    acknowledgedSendMilliseconds: number | undefined;
    /** The acknowledged message whose promise lasts longest; undefined before the first one. */
    promised: SentMessage | undefined;
    /** When the last message was sent, in monotonic milliseconds. */
    lastSendMilliseconds: number;
    /** Whether the last response was from another identity, since the peer's disk was emptied. */
    isReplaced: boolean;
    /** Whether the peer was removed from the group or changed its address, so that its task ends. */
    isRemoved: boolean;
}
