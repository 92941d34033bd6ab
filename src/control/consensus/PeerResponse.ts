/*
 * What all answers of peers have in common.
 */

/** An answer of a peer to its leader. */
export interface PeerResponse {
    /** The peer's term. */
    term: bigint;
    /** The identity of the peer's disk. */
    memberId: string;
}
