/*
 * Declares what a sidecar's state handler depends on.
 */
import { ConfigurationSnapshot } from "../protocol";
import { Authority } from "./Authority";
import { Directory } from "./Directory";
import { PeerConfirmationPromises } from "./PeerConfirmationPromises";
import { ProcessLease } from "./ProcessLease";
import { SidecarSetView } from "./SidecarSetView";

/** The options of a state handler. */
export interface StateHandlerOptions {
    /** The sidecar's instance id. */
    instanceId: string;
    /** The sidecar's authority. */
    authority: Authority;
    /** The sidecar's lease from the control members. */
    lease: ProcessLease;
    /** The sidecars whose majority can confirm the configuration. */
    sidecarSet: SidecarSetView;
    /** The sidecar's directory. */
    directory: Directory;
    /** The promises that the sidecar made to processes whose revision it confirmed. */
    confirmationPromises: PeerConfirmationPromises;
    /** Gets the sidecar's copy of the configuration. */
    getSnapshot: () => ConfigurationSnapshot;
}
