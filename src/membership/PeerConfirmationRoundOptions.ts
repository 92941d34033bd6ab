/*
 * What a round of asking sidecars is made of.
 */
import { RandomSource } from "../runtime";
import { Directory } from "./Directory";
import { SidecarPeers } from "./SidecarPeers";
import { SidecarSetView } from "./SidecarSetView";

/** The options of a round of asking. */
export interface PeerConfirmationRoundOptions {
    /** The configuration revision held. */
    revision: bigint;
    /** The sidecars whose majority may vouch. */
    sidecarSet: SidecarSetView;
    /** Where the sidecars' addresses are found. */
    directory: Directory;
    /** How the sidecars are asked. */
    peers: SidecarPeers;
    /** Randomness, so that processes ask different sidecars first. */
    random: RandomSource;
}
