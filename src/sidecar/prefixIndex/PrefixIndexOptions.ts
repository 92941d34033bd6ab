/*
 * The options of a prefix index.
 */

/** The size limit and the callbacks of a prefix index. */
export interface PrefixIndexOptions {
    /** The maximum number of blocks, beyond which the least recently confirmed are removed; a default if absent. */
    maximumBlocks?: number;
    /** Called for each gap in the event numbers, with the number of lost events. */
    onEventGap?: (lostEvents: number) => void;
    /** Called when a response reports fewer cached blocks than the index counted as certain, with the difference. */
    onOvercount?: (missingBlocks: number) => void;
}
