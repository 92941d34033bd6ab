/*
 * Records which entry processes have polled recently.
 */

/** Counts the active entry processes, which share the limits of the whole system. */
export interface EntryRegistry {
    /**
     * Records a poll.
     * @param entryId - The instance id of the entry process that polled.
     */
    recordPoll(entryId: string): void;
    /** Gets the number of entry processes that have polled recently. */
    getCount(): number;
    /** Gets the ids of the entry processes that have polled recently, in order. */
    getIds(): readonly string[];
}
