/*
 * The configuration part's whole state.
 */
import { SystemEvent } from "../SystemEvent";
import { HistoryEntry } from "./HistoryEntry";
import { StoredChangeOutcome } from "./StoredChangeOutcome";

/** The state that all members hold alike. */
export interface ConfigurationPartState {
    /** The revision. */
    revision: bigint;
    /** Each level's own settings as JSON. */
    levels: Iterable<readonly [string, string]>;
    /** The kept changes, oldest first. */
    history: readonly HistoryEntry[];
    /** The kept answers, oldest first. */
    changeOutcomes: readonly StoredChangeOutcome[];
    /** The events kept, oldest first. */
    events: readonly SystemEvent[];
}
