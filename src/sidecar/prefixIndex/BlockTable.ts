/*
 * A table from piece hashes to the stamp of their last confirmation.
 */

/** A compact table over hashes of 128 bits. */
export interface BlockTable {
    /** Gets a piece's stamp; 0 where it is not held. */
    getStamp(hash: string): number;
    /** Adds a piece or replaces its stamp, a number from 1. */
    setStamp(hash: string, stamp: number): void;
    /** Removes a piece; tells whether it was held. */
    removeBlock(hash: string): boolean;
    /** Removes every piece whose stamp is below a bound. */
    removeBelow(stamp: number): void;
    /** Gets the stamps of all pieces held, in no order. */
    getStamps(): Float64Array;
    /** Removes every piece. */
    clear(): void;
    /** Gets how many pieces are held. */
    getSize(): number;
    /** Gets how many bytes the table takes. */
    getBytes(): number;
}
