/*
 * Declares what a round of asking sidecars for confirmation depends on.
 */
import { RandomSource } from "../runtime";
import { Directory } from "./Directory";
import { SidecarPeers } from "./SidecarPeers";
import { SidecarSetView } from "./SidecarSetView";

/** The options of a confirmation round. */
export interface PeerConfirmationRoundOptions {
    /** The configuration revision to confirm. */
    revision: bigint;
    /** The sidecars whose majority can confirm the configuration. */
    sidecarSet: SidecarSetView;
    /** The directory that holds the sidecars' addresses. */
    directory: Directory;
    /** Sends the requests to the sidecars. */
    peers: SidecarPeers;
    /** The source of randomness for the order, so that processes ask different sidecars first. */
    random: RandomSource;
}
