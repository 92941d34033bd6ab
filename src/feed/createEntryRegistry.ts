/*
 * Counts the entries by their polls.
 */
import { Clock } from "../runtime";
import { EntryRegistry } from "./EntryRegistry";

/** How long an entry counts after its last poll, in milliseconds: several polls, so that one lost poll changes nothing. */
const activeMilliseconds = 10_000;

/**
 * Creates an empty register.
 * @param clock - The passing of time.
 */
export function createEntryRegistry(clock: Clock): EntryRegistry {
    const polls = new Map<string, number>();
    return { recordPoll, getCount };

    function recordPoll(entryId: string): void {
        polls.set(entryId, clock.getMonotonicMilliseconds());
    }

    function getCount(): number {
        const oldest = clock.getMonotonicMilliseconds() - activeMilliseconds;
        for (const [entryId, time] of polls) {
            if (time < oldest) {
                polls.delete(entryId);
            }
        }
        return polls.size;
    }
}
