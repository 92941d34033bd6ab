/*
 * What a process's authority is made of.
 */
import { Clock } from "../runtime";
import { PeerConfirmationResult } from "./PeerConfirmationResult";
import { ProcessLease } from "./ProcessLease";
import { SidecarSetView } from "./SidecarSetView";

/** The options of a process's authority. */
export interface AuthorityOptions {
    /** The passing of time. */
    clock: Clock;
    /** Gets the configuration revision held. */
    getRevision: () => bigint;
    /** The process's lease. */
    lease: ProcessLease;
    /** The sidecars whose majority may vouch. */
    sidecarSet: SidecarSetView;
    /** Asks sidecars to vouch, one round. */
    runConfirmationRound: () => Promise<PeerConfirmationResult>;
    /** Fetches newer state from the sidecar that has it. */
    fetchNewerState: (instanceId: string) => Promise<void>;
}
