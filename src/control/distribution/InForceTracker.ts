/*
 * Whether changes of the configuration are in force, as the leader counts it.
 */
import { InForceCheck } from "./InForceCheck";
import { ProcessAcknowledgement } from "./ProcessAcknowledgement";

/** Counts who has acknowledged what. */
export interface InForceTracker {
    /** Decides whether a revision is in force now, so that no process admits work under an older one from now on. */
    check(revision: bigint): InForceCheck;
    /** Gets what each run of a process has acknowledged. */
    getAcknowledgements(): ReadonlyMap<string, ProcessAcknowledgement>;
    /** Tells whether enough sidecars know the newest set, so that the next change of it may be made. */
    isSidecarSetEstablished(): boolean;
    /** Starts anew, with the member's new term. */
    startTerm(): void;
}
