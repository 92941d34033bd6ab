/*
 * A table that maps block hashes to the stamp of their last confirmation.
 */

/** A compact table over hashes of 128 bits. */
export interface BlockTable {
    /** Gets a block's stamp; 0 if the table does not hold it. */
    getStamp(hash: string): number;
    /** Adds a block or replaces its stamp, which is at least 1. */
    setStamp(hash: string, stamp: number): void;
    /** Removes a block, and tells whether the table held it. */
    removeBlock(hash: string): boolean;
    /** Removes all blocks whose stamp is below the given one. */
    removeBelow(stamp: number): void;
    /** Gets the stamps of all blocks, in no particular order. */
    getStamps(): Float64Array;
    /** Removes all blocks. */
    clear(): void;
    /** Gets the number of blocks. */
    getSize(): number;
    /** Gets the memory that the table occupies, in bytes. */
    getBytes(): number;
}
