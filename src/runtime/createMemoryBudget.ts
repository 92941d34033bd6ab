/*
 * Limits the memory that several holders share. Beyond the limit, holders that hold much are paused until others have freed
 * memory. If none does, the largest are given up one after the other.
 */
import { Clock } from "./Clock";
import { detach } from "./detach";
import { MemoryAccount } from "./MemoryAccount";
import { MemoryBudget } from "./MemoryBudget";
import { MemoryHolder } from "./MemoryHolder";

/** The bytes that each holder may hold, also beyond the limit. */
const smallHolderBytes = 131_072;
/** How long holders are paused before the largest one is given up, in milliseconds. */
const pauseMilliseconds = 250;

/** A holder with its bytes. */
interface Entry {
    holder: MemoryHolder;
    bytes: number;
    isPaused: boolean;
}

/**
 * Creates a budget without holders.
 * @param maximumBytes - The limit for all holders together, in bytes.
 * @param clock - The clock by which pauses are taken.
 */
export function createMemoryBudget(maximumBytes: number, clock: Clock): MemoryBudget {
    const entries = new Set<Entry>();
    let totalBytes = 0;
    /** Aborted once the holders are within the limit again; undefined while they are. */
    let shortage: AbortController | undefined;
    return { open };

    function open(holder: MemoryHolder): MemoryAccount {
        const entry: Entry = { holder, bytes: 0, isPaused: false };
        entries.add(entry);
        return {
            add: bytes => change(entry, bytes),
            remove: bytes => change(entry, -bytes),
            close: () => close(entry),
        };
    }

    function change(entry: Entry, bytes: number): void {
        if (!entries.has(entry)) {
            return;
        }
        entry.bytes += bytes;
        totalBytes += bytes;
        if (totalBytes <= maximumBytes) {
            endShortage();
        }
        else if (shortage) {
            pauseIfLarge(entry);
        }
        else {
            shortage = new AbortController();
            entries.forEach(pauseIfLarge);
            detach(giveUpLargest(shortage.signal));
        }
    }

    function close(entry: Entry): void {
        if (entries.delete(entry)) {
            totalBytes -= entry.bytes;
            if (totalBytes <= maximumBytes) {
                endShortage();
            }
        }
    }

    function pauseIfLarge(entry: Entry): void {
        if (!entry.isPaused && entry.bytes > smallHolderBytes) {
            entry.isPaused = true;
            entry.holder.setPaused(true);
        }
    }

    function endShortage(): void {
        shortage?.abort();
        shortage = undefined;
        for (const entry of [...entries].filter(({ isPaused }) => isPaused)) {
            entry.isPaused = false;
            entry.holder.setPaused(false);
        }
    }

    /** Gives up the largest holders until the shortage ends. */
    async function giveUpLargest(signal: AbortSignal): Promise<void> {
        await clock.sleep(pauseMilliseconds, signal);
        while (!signal.aborted) {
            const largest = [...entries].filter(({ isPaused }) => isPaused)
                .reduce<Entry | undefined>(
                    (left, right) => left && left.bytes >= right.bytes ? left : right,
                    undefined,
                );
            if (largest) {
                close(largest);
                largest.holder.giveUp();
            }
            await clock.sleep(pauseMilliseconds, signal);
        }
    }
}
