/*
 * The parameters of the replication task of one peer.
 */
import { ConsensusState } from "./ConsensusState";
import { PeerProgress } from "./PeerProgress";

/** A leader's replication task for one peer. */
export interface PeerTask {
    /** The state of the leading member. */
    state: ConsensusState;
    /** The term in which the member leads. */
    term: bigint;
    /** The replication progress of the peer. */
    progress: PeerProgress;
    /** Called after a response of the peer has been recorded. */
    onResponse: () => void;
}
