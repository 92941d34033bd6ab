/*
 * Limits the memory that several holders share. Beyond the limit, holders that hold much go on in the order of their beginnings, as
 * many at a time as fit, and the others are paused, so that each one ends in its turn. Addresses many large responses at once: if all of them were
 * paused until others have freed memory, none would end.
 */
import { Clock } from "./Clock";
import { detach } from "./detach";
import { MemoryAccount } from "./MemoryAccount";
import { MemoryBudget } from "./MemoryBudget";
import { MemoryHolder } from "./MemoryHolder";

/** The bytes that each holder may hold, also beyond the limit. */
const smallHolderBytes = 131_072;
/** What a holder needs at most, in bytes; those that go on may need as much beyond the limit. */
const largestHolderBytes = 4_194_304;
/** How long a holder may make no progress until another one goes on in its place, in milliseconds. */
const stallMilliseconds = 250;
/** After how many such times without progress of any the largest one is given up. */
const maximumStalls = 2;

/** A holder with its bytes. */
interface Entry {
    holder: MemoryHolder;
    bytes: number;
    /** What it will hold at its end. */
    expectedBytes: number;
    isPaused: boolean;
    /** Whether it has changed since the last check. */
    hasProgress: boolean;
}

/**
 * Creates a budget without holders.
 * @param maximumBytes - The limit for all holders together, in bytes.
 * @param clock - The clock by which pauses are taken.
 */
export function createMemoryBudget(maximumBytes: number, clock: Clock): MemoryBudget {
    /** The holders in the order in which they go on. */
    const entries = new Set<Entry>();
    let totalBytes = 0;
    /** Aborted once the holders are within the limit again; undefined while they are. */
    let shortage: AbortController | undefined;
    /** Whether any large holder has made progress or ended since the last check. */
    let hasProgress = false;
    return { open };

    function open(holder: MemoryHolder): MemoryAccount {
        const entry: Entry = {
            holder,
            bytes: 0,
            expectedBytes: largestHolderBytes,
            isPaused: false,
            hasProgress: false,
        };
        entries.add(entry);
        return {
            expect: bytes => void (entry.expectedBytes = Math.min(bytes, largestHolderBytes)),
            add: bytes => change(entry, bytes),
            remove: bytes => change(entry, -bytes),
            close: () => close(entry),
        };
    }

    function change(entry: Entry, bytes: number): void {
        if (entries.has(entry)) {
            entry.bytes += bytes;
            totalBytes += bytes;
            entry.hasProgress = true;
            hasProgress ||= isLarge(entry);
            pauseOrResume();
        }
    }

    function close(entry: Entry): void {
        if (entries.delete(entry)) {
            totalBytes -= entry.bytes;
            hasProgress ||= isLarge(entry);
            pauseOrResume();
        }
    }

    /** Pauses large holders beyond the limit, except the first ones, which fit together with what they still need. */
    function pauseOrResume(): void {
        if (!shortage && totalBytes <= maximumBytes) {
            return;
        }
        let roomBytes = Math.max(0, maximumBytes - totalBytes) + largestHolderBytes;
        let isAnyPaused = false;
        for (const entry of [...entries].filter(isLarge)) {
            const neededBytes = Math.max(0, entry.expectedBytes - entry.bytes);
            const isPaused = neededBytes > roomBytes;
            roomBytes -= isPaused ? 0 : neededBytes;
            isAnyPaused ||= isPaused;
            if (entry.isPaused !== isPaused) {
                entry.isPaused = isPaused;
                entry.holder.setPaused(isPaused);
            }
        }
        if (totalBytes <= maximumBytes && !isAnyPaused) {
            shortage?.abort();
            shortage = undefined;
        }
        else if (!shortage) {
            shortage = new AbortController();
            detach(relieve(shortage.signal));
        }
    }

    /** Lets others go on in place of those without progress, and gives the largest up where none makes any. */
    async function relieve(signal: AbortSignal): Promise<void> {
        let stallCount = 0;
        while (!signal.aborted) {
            hasProgress = false;
            entries.forEach(entry => entry.hasProgress = false);
            await clock.sleep(stallMilliseconds, signal);
            stallCount = hasProgress ? 0 : stallCount + 1;
            const large = [...entries].filter(isLarge);
            if (stallCount >= maximumStalls && large.length > 0 && !signal.aborted) {
                const largest = large.reduce((left, right) => left.bytes >= right.bytes ? left : right);
                close(largest);
                largest.holder.giveUp();
                continue;
            }
            for (const entry of large.filter(({ isPaused, hasProgress: isMoving }) => !isPaused && !isMoving)) {
                entries.delete(entry);
                entries.add(entry);
            }
            pauseOrResume();
        }
    }
}

function isLarge({ bytes }: Entry): boolean {
    return bytes > smallHolderBytes;
}
