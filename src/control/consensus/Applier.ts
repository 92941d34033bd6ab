/*
 * The part of a member that applies committed entries to the state machine.
 */
import { StoredSnapshot } from "../storage";
import { PendingProposal } from "./PendingProposal";

/** Applies committed entries, reports the outcomes of proposals, and takes snapshots. */
export interface Applier {
    /** Gets the index of the last entry applied. */
    getAppliedIndex(): bigint;
    /**
     * Registers a proposal, which is finished once the entry at its index is applied.
     * @param index - The index at which the proposal was appended.
     * @param proposal - The proposal.
     */
    addPending(index: bigint, proposal: PendingProposal): void;
    /**
     * Waits until an entry is applied.
     * @param index - The entry's index.
     * @param milliseconds - The maximum wait in milliseconds.
     * @returns Whether the entry was applied in time.
     */
    waitForIndex(index: bigint, milliseconds: number): Promise<boolean>;
    /**
     * Replaces the state of the state machine with a snapshot; does nothing where later entries are applied already.
     * @param snapshot - The snapshot, which is stored on disk.
     */
    restore(snapshot: StoredSnapshot): Promise<void>;
}
