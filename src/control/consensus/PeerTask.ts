/*
 * What the task of one peer needs.
 */
import { ConsensusState } from "./ConsensusState";
import { PeerProgress } from "./PeerProgress";

/** The task of a leader for one peer. */
export interface PeerTask {
    /** The leader's state. */
    state: ConsensusState;
    /** The term that the leader leads. */
    term: bigint;
    /** What is known of the peer. */
    progress: PeerProgress;
    /** Is called when the peer answered. */
    onResponse: () => void;
}
