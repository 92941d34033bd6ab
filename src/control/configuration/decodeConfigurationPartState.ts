/*
 * Decodes the configuration part's state from a snapshot.
 */
import { createInvariantError, getErrorMessage } from "../../errors";
import { ChangeOutcome } from "./ChangeOutcome";
import { ConfigurationPartSnapshot } from "./ConfigurationPartSnapshot";
import { ConfigurationPartState } from "./ConfigurationPartState";
import { HistoryEntry } from "./HistoryEntry";
import { StoredChangeOutcome } from "./StoredChangeOutcome";

const supportedFormat = 1;

/**
 * Decodes a state.
 * @param bytes - The encoded state. Storage has verified its bytes, so that unexpected content is a broken invariant.
 * @throws An invariant error if the content is not JSON or has an unknown format.
 */
export function decodeConfigurationPartState(bytes: Uint8Array): ConfigurationPartState {
    const snapshot = parseSnapshot(bytes);
    if (snapshot.format !== supportedFormat) {
        throw createInvariantError("A configuration snapshot has an unknown format", { format: snapshot.format });
    }
    return {
        revision: BigInt(snapshot.revision),
        levels: snapshot.levels,
        history: snapshot.history.map(decodeEntry),
        changeOutcomes: snapshot.answers.map(decodeStoredOutcome),
        events: snapshot.events ?? [],
    };
}

function parseSnapshot(bytes: Uint8Array): ConfigurationPartSnapshot {
    try {
        return JSON.parse(new TextDecoder().decode(bytes)) as ConfigurationPartSnapshot;
    }
    catch (error) {
        throw createInvariantError("A configuration snapshot is not JSON", { reason: getErrorMessage(error) });
    }
}

function decodeEntry(entry: ConfigurationPartSnapshot["history"][number]): HistoryEntry {
    const changes = entry.changes.map(({ level, before, after }) => ({ level, before, after }));
    return { ...entry, revision: BigInt(entry.revision), changes };
}

function decodeStoredOutcome(storedOutcome: ConfigurationPartSnapshot["answers"][number]): StoredChangeOutcome {
    const { changeId, contentDigest } = storedOutcome;
    return { changeId, contentDigest, outcome: decodeOutcome(storedOutcome) };
}

function decodeOutcome({ kind, revision, problems }: ConfigurationPartSnapshot["answers"][number]): ChangeOutcome {
    switch (kind) {
        case "accepted":
            return { kind, revision: BigInt(revision) };
        case "conflict":
        case "invalid":
            return { kind, revision: BigInt(revision), problems: problems ?? [] };
    }
}
