/*
 * How a connection is read.
 */

/** Controls what undici gets to read of a connection. */
export interface PieceReader {
    /** Hands nothing over from now on. */
    hold(): void;
    /** Hands over again what arrives, and what has arrived meanwhile. */
    release(): void;
}
