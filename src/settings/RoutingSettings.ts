/*
 * The settings of routing, which must be the same in all processes.
 */

/** How prompts are divided into blocks. */
export interface RoutingSettings {
    /** The number of tokens in a cache block. */
    pieceTokens: number;
    /** The average length of a token, in bytes of UTF-8. */
    bytesPerToken: number;
}
