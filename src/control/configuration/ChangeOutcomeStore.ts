/*
 * A store of the outcomes of the most recent changes.
 */
import { StoredChangeOutcome } from "./StoredChangeOutcome";

/** A store of change outcomes with a limited size. */
export interface ChangeOutcomeStore {
    /** Gets the stored outcome of the change with an id; undefined if there is none. */
    getOutcome(changeId: string): StoredChangeOutcome | undefined;
    /** Adds an outcome, and drops the oldest one if the store is full. */
    addOutcome(outcome: StoredChangeOutcome): void;
    /** Gets all stored outcomes, oldest first. */
    getOutcomes(): readonly StoredChangeOutcome[];
    /** Replaces all stored outcomes, given oldest first. */
    replaceOutcomes(outcomes: readonly StoredChangeOutcome[]): void;
}
