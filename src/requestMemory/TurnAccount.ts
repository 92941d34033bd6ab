/*
 * The share of one connection in the time of the event loop.
 */

/** The account of a connection. */
export interface TurnAccount {
    /** Records that the head of a request has been parsed. */
    recordRequest(): void;
    /** Records that a chunk of its body has been parsed. */
    recordChunk(byteCount: number): void;
    /** Ends the share. */
    close(): void;
}
