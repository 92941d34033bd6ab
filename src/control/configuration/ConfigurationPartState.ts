/*
 * The complete state of the configuration part.
 */
import { SystemEvent } from "../SystemEvent";
import { HistoryEntry } from "./HistoryEntry";
import { StoredChangeOutcome } from "./StoredChangeOutcome";

/** The state of the configuration part, which is identical at all control members. */
export interface ConfigurationPartState {
    /** The revision of the tree. */
    revision: bigint;
    /** Each level's path and own settings, the settings as JSON. */
    levels: Iterable<readonly [string, string]>;
    /** The history, oldest change first. */
    history: readonly HistoryEntry[];
    /** The stored outcomes of changes, oldest first. */
    changeOutcomes: readonly StoredChangeOutcome[];
    /** The retained events, oldest first. */
    events: readonly SystemEvent[];
}
