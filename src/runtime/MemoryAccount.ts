/*
 * The share of one holder in memory that several holders share.
 */

/** The bytes of one holder. */
export interface MemoryAccount {
    /** States how many bytes the holder will hold at its end, if that is known. */
    expect(bytes: number): void;
    /** Adds bytes that the holder now holds; may pause it and others. */
    add(bytes: number): void;
    /** Removes bytes that the holder no longer holds. */
    remove(bytes: number): void;
    /** Ends the holder's share. */
    close(): void;
}
