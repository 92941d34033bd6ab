/*
 * The history of the most recent accepted changes, limited by their number and by the size of the changed settings.
 */
import { ConfigurationHistory } from "./ConfigurationHistory";
import { configurationLimits } from "./configurationLimits";
import { HistoryEntry } from "./HistoryEntry";

/** Creates an empty history. */
export function createConfigurationHistory(): ConfigurationHistory {
    let entries: HistoryEntry[] = [];
    let characterCount = 0;
    return { addEntry, getEntries: () => entries, getEntriesSince, replaceEntries };

    function addEntry(entry: HistoryEntry): void {
        entries.push(entry);
        characterCount += getCharacterCount(entry);
        let droppedCount = 0;
        while (exceedsLimits(droppedCount)) {
            characterCount -= getCharacterCount(entries[droppedCount]!);
            droppedCount++;
        }
        if (droppedCount > 0) {
            entries = entries.slice(droppedCount);
        }
    }

    function exceedsLimits(droppedCount: number): boolean {
        const entryCount = entries.length - droppedCount;
        const isAboveLimits = entryCount > configurationLimits.maximumHistoryEntries
            || characterCount > configurationLimits.maximumHistoryCharacters;
        return isAboveLimits && entryCount > 0;
    }

    function getEntriesSince(revision: bigint): readonly HistoryEntry[] | undefined {
        const newestRevision = entries.at(-1)?.revision;
        if (newestRevision === undefined) {
            return undefined;
        }
        const requestedCount = Number(newestRevision - revision);
        if (requestedCount < 0 || requestedCount > entries.length) {
            return undefined;
        }
        return entries.slice(entries.length - requestedCount);
    }

    function replaceEntries(newEntries: readonly HistoryEntry[]): void {
        entries = [...newEntries];
        characterCount = entries.reduce((sum, entry) => sum + getCharacterCount(entry), 0);
    }
}

function getCharacterCount(entry: HistoryEntry): number {
    return entry.changes.reduce(
        (sum, { level, before, after }) => sum + level.length + (before?.length ?? 0) + (after?.length ?? 0),
        0,
    );
}
