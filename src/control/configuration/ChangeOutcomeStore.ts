/*
 * The first answers to the latest changes.
 */
import { StoredChangeOutcome } from "./StoredChangeOutcome";

/** A bounded store of answers. */
export interface ChangeOutcomeStore {
    /** Gets the answer to the change of an id. */
    getOutcome(changeId: string): StoredChangeOutcome | undefined;
    /** Keeps an answer, and drops the oldest past the bound. */
    addOutcome(outcome: StoredChangeOutcome): void;
    /** Gets all answers, oldest first. */
    getOutcomes(): readonly StoredChangeOutcome[];
    /** Replaces all answers. */
    replaceOutcomes(outcomes: readonly StoredChangeOutcome[]): void;
}
