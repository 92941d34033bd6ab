/*
 * Declares what a process's authority depends on.
 */
import { Clock } from "../runtime";
import { PeerConfirmationResult } from "./PeerConfirmationResult";
import { ProcessLease } from "./ProcessLease";
import { SidecarSetView } from "./SidecarSetView";

/** The options of a process's authority. */
export interface AuthorityOptions {
    /** The process's clock. */
    clock: Clock;
    /** Gets the revision of the local configuration. */
    getRevision: () => bigint;
    /** The process's lease from the control members. */
    lease: ProcessLease;
    /** The sidecars whose majority can confirm the configuration. */
    sidecarSet: SidecarSetView;
    /** Asks the region's sidecars once to confirm the local revision. */
    runConfirmationRound: () => Promise<PeerConfirmationResult>;
    /** Fetches newer configuration and a newer sidecar set from the sidecar with the given instance id. */
    fetchNewerState: (instanceId: string) => Promise<void>;
}
