/*
 * The fields that all responses of peers to their leader share.
 */

/** A response of a peer to its leader. */
export interface PeerResponse {
    /** The peer's term. */
    term: bigint;
    /** The peer's identity, which is tied to its disk. */
    memberId: string;
    /** How long the peer refuses votes, in milliseconds; 0 from a member that doesn't tell it. */
    promiseMilliseconds: number;
}
