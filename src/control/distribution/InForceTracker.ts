/*
 * The leader's decision on which configuration revisions are in force.
 */
import { InForceCheck } from "./InForceCheck";
import { ProcessAcknowledgement } from "./ProcessAcknowledgement";

/** Counts acknowledgements and leases to decide whether a revision is in force. */
export interface InForceTracker {
    /**
     * Decides whether a revision is in force: from then on no process admits work under an older one.
     * @param revision - The configuration revision.
     */
    check(revision: bigint): InForceCheck;
    /** Gets what each run of a process has acknowledged, by the key that `getHolderKey` returns. */
    getAcknowledgements(): ReadonlyMap<string, ProcessAcknowledgement>;
    /** Tells whether enough sidecars have acknowledged the newest sidecar set, so that it may be changed again. */
    isSidecarSetEstablished(): boolean;
    /** Discards the state of the former term. */
    startTerm(): void;
}
