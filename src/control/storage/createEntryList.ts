/*
 * Holds all retained entries of a log in memory; snapshots limit their number.
 */
import { assertNever } from "../../errors";
import { LogEntry } from "../../protocol";
import { entryHeaderBytes } from "./entryHeaderBytes";
import { EntryList } from "./EntryList";
import { LogRecord } from "./LogRecord";
import { RecordKind } from "./RecordKind";

/** Creates an empty list, whose first entry may have any index. */
export function createEntryList(): EntryList {
    let entries: LogEntry[] = [];
    let firstIndex: bigint | undefined;
    let entryBytes = 0;
    return {
        getFirstIndex,
        getNextIndex,
        getEntryBytes: () => entryBytes,
        getEntry,
        getEntries,
        applyRecord,
        discardBefore,
    };

    function getFirstIndex(): bigint {
        return firstIndex ?? 1n;
    }

    function getNextIndex(): bigint {
        return getFirstIndex() + BigInt(entries.length);
    }

    function getEntry(index: bigint): LogEntry | undefined {
        return index < getFirstIndex() ? undefined : entries[Number(index - getFirstIndex())];
    }

    function getEntries(fromIndex: bigint, maximumBytes: number): readonly LogEntry[] {
        const selected: LogEntry[] = [];
        let selectedBytes = 0;
        for (let index = fromIndex; selectedBytes < maximumBytes; index += 1n) {
            const entry = getEntry(index);
            if (entry === undefined) {
                break;
            }
            selectedBytes += getEncodedBytes(entry);
            if (selected.length > 0 && selectedBytes > maximumBytes) {
                break;
            }
            selected.push(entry);
        }
        return selected;
    }

    function applyRecord(record: LogRecord): string | undefined {
        switch (record.kind) {
            case RecordKind.Entry:
                return addEntry(record.entry);
            case RecordKind.Truncation:
                truncateFrom(record.index);
                return undefined;
            case RecordKind.Reset:
                entries = [];
                entryBytes = 0;
                firstIndex = record.index;
                return undefined;
            default:
                return assertNever(record);
        }
    }

    function addEntry(entry: LogEntry): string | undefined {
        firstIndex ??= entry.index;
        if (entry.index !== getNextIndex()) {
            return `holds entry ${entry.index} where entry ${getNextIndex()} is expected`;
        }
        entries.push(entry);
        entryBytes += getEncodedBytes(entry);
        return undefined;
    }

    function truncateFrom(index: bigint): void {
        const retainedCount = index <= getFirstIndex() ? 0 : Number(index - getFirstIndex());
        const removed = entries.splice(retainedCount);
        entryBytes -= sumEncodedBytes(removed);
        if (firstIndex !== undefined && index < firstIndex) {
            // The entries in between were in a segment that a snapshot covers and that has been removed.
            firstIndex = index;
        }
    }

    function discardBefore(index: bigint): void {
        if (index <= getFirstIndex()) {
            return;
        }
        const discardedCount = Math.min(Number(index - getFirstIndex()), entries.length);
        entryBytes -= sumEncodedBytes(entries.slice(0, discardedCount));
        entries = entries.slice(discardedCount);
        firstIndex = getFirstIndex() + BigInt(discardedCount);
    }
}

/** Gets the size of an entry as encoded on disk, in bytes. */
function getEncodedBytes(entry: LogEntry): number {
    return entryHeaderBytes + entry.data.length;
}

/** Gets the total size of entries as encoded on disk, in bytes. */
function sumEncodedBytes(entries: readonly LogEntry[]): number {
    return entries.reduce((sum, entry) => sum + getEncodedBytes(entry), 0);
}
