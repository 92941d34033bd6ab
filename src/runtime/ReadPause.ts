/*
 * Why a connection is not read for a while.
 */

/** The reasons, each of which ends by itself. */
export enum ReadPause {
    /** Its request waits for memory. */
    Memory = "memory",
    /** Other connections have their turn. */
    Turn = "turn",
}
