/*
 * Encodes the configuration part's state for a snapshot.
 */
import { compareLevelPaths } from "./compareLevelPaths";
import { ConfigurationPartSnapshot } from "./ConfigurationPartSnapshot";
import { ConfigurationPartState } from "./ConfigurationPartState";
import { HistoryEntry } from "./HistoryEntry";
import { StoredChangeOutcome } from "./StoredChangeOutcome";

/** Encodes a state; equal states have equal encodings. */
export function encodeConfigurationPartState(state: ConfigurationPartState): Uint8Array {
    const snapshot: ConfigurationPartSnapshot = {
        format: 1,
        revision: state.revision.toString(),
        levels: [...state.levels].sort(([first], [second]) => compareLevelPaths(first, second)),
        history: state.history.map(encodeEntry),
        answers: state.changeOutcomes.map(encodeStoredOutcome),
        events: state.events,
    };
    return new TextEncoder().encode(JSON.stringify(snapshot));
}

function encodeEntry(entry: HistoryEntry): ConfigurationPartSnapshot["history"][number] {
    return { ...entry, revision: entry.revision.toString() };
}

function encodeStoredOutcome(
    { changeId, contentDigest, outcome }: StoredChangeOutcome,
): ConfigurationPartSnapshot["answers"][number] {
    const problems = outcome.kind === "accepted" ? undefined : outcome.problems;
    return { changeId, contentDigest, kind: outcome.kind, revision: outcome.revision.toString(), problems };
}
