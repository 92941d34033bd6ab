/*
 * Counts the entry processes by their polls.
 */
import { Clock } from "../runtime";
import { entryActivityMilliseconds } from "./entryActivityMilliseconds";
import { EntryRegistry } from "./EntryRegistry";

/**
 * Creates an empty registry.
 * @param clock - Measures the time since each poll.
 */
export function createEntryRegistry(clock: Clock): EntryRegistry {
    const pollTimes = new Map<string, number>();
    return { recordPoll, getCount: () => getIds().length, getIds };

    function recordPoll(entryId: string): void {
        pollTimes.set(entryId, clock.getMonotonicMilliseconds());
    }

    function getIds(): readonly string[] {
        const oldestActive = clock.getMonotonicMilliseconds() - entryActivityMilliseconds;
        for (const [entryId, time] of pollTimes) {
            if (time < oldestActive) {
                pollTimes.delete(entryId);
            }
        }
        return [...pollTimes.keys()].sort();
    }
}
