/*
 * Which entries have polled lately.
 */

/** Counts the entries that share the budgets of the whole system. */
export interface EntryRegistry {
    /** Notes a poll of an entry. */
    recordPoll(entryId: string): void;
    /** Gets how many entries polled lately. */
    getCount(): number;
}
