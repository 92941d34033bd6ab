/*
 * What a sidecar's answers about its state are made from.
 */
import { ConfigurationSnapshot } from "../protocol";
import { Authority } from "./Authority";
import { Directory } from "./Directory";
import { PeerConfirmationPromises } from "./PeerConfirmationPromises";
import { ProcessLease } from "./ProcessLease";
import { SidecarSetView } from "./SidecarSetView";

/** The options of a sidecar's answers. */
export interface StateHandlerOptions {
    /** The sidecar's instance id. */
    instanceId: string;
    /** The sidecar's authority. */
    authority: Authority;
    /** The sidecar's lease. */
    lease: ProcessLease;
    /** The sidecars whose majority may vouch. */
    sidecarSet: SidecarSetView;
    /** The sidecar's directory. */
    directory: Directory;
    /** What the sidecar has promised. */
    confirmationPromises: PeerConfirmationPromises;
    /** Gets the configuration held. */
    getSnapshot: () => ConfigurationSnapshot;
}
