/*
 * What a process's authority is made of.
 */
import { Clock } from "../runtime";
import { ProcessLease } from "./ProcessLease";
import { SidecarSetView } from "./SidecarSetView";
import { VouchAnswer } from "./VouchAnswer";

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
    askSidecars: () => Promise<VouchAnswer>;
    /** Fetches newer state from the sidecar that has it. */
    fetchNewer: (instanceId: string) => Promise<void>;
}
