/*
 * What a prefix index is made from.
 */

/** The options of a prefix index. */
export interface PrefixIndexOptions {
    /** The most pieces held; the least recently confirmed are dropped beyond it. */
    maximumPieces?: number;
    /** Told of each gap in the events, with how many were lost. */
    onGap?: (lostEvents: number) => void;
    /** Told when an answer found fewer pieces cached than the index was sure of, with how many were missing. */
    onFalseClaim?: (missingPieces: number) => void;
}
