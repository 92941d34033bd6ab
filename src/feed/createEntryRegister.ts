/*
 * Counts the entries by their polls.
 */
import { Clock } from "../runtime";
import { EntryRegister } from "./EntryRegister";

/** How long an entry counts after its last poll, in milliseconds: several polls, so that one lost poll changes nothing. */
const presenceMilliseconds = 10_000;

/**
 * Creates an empty register.
 * @param clock - The passing of time.
 */
export function createEntryRegister(clock: Clock): EntryRegister {
    const polls = new Map<string, number>();
    return { note, getCount };

    function note(entryId: string): void {
        polls.set(entryId, clock.getMonotonicMilliseconds());
    }

    function getCount(): number {
        const oldest = clock.getMonotonicMilliseconds() - presenceMilliseconds;
        for (const [entryId, time] of polls) {
            if (time < oldest) {
                polls.delete(entryId);
            }
        }
        return polls.size;
    }
}
