/*
 * What a prefix index is made from.
 */

/** The options of a prefix index. */
export interface PrefixIndexOptions {
    /** The most pieces held; the least recently confirmed are dropped beyond it. */
    maximumBlocks?: number;
    /** Told of each gap in the events, with how many were lost. */
    onEventGap?: (lostEvents: number) => void;
    /** Told when an answer found fewer pieces cached than the index was sure of, with how many were missing. */
    onOvercount?: (missingPieces: number) => void;
}
