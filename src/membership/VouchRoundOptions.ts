/*
 * What a round of asking companions is made of.
 */
import { RandomSource } from "../runtime";
import { Directory } from "./Directory";
import { SidecarPeers } from "./SidecarPeers";
import { SidecarSetView } from "./SidecarSetView";

/** The options of a round of asking. */
export interface VouchRoundOptions {
    /** The configuration revision held. */
    revision: bigint;
    /** The companions whose majority may vouch. */
    sidecarSet: SidecarSetView;
    /** Where the companions' addresses are found. */
    directory: Directory;
    /** How the companions are asked. */
    peers: SidecarPeers;
    /** Randomness, so that processes ask different companions first. */
    random: RandomSource;
}
