/*
 * What holds memory that several holders share.
 */

/** A holder of memory. */
export interface MemoryHolder {
    /** Stops growing, or goes on. */
    setPaused(isPaused: boolean): void;
    /** Frees what it holds, since all holders together need too much. */
    giveUp(): void;
}
