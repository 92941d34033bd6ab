/*
 * A prompt as a chain of hashes over its pieces, so that equal beginnings have equal hashes.
 */
import { PrefixScope } from "./PrefixScope";

/** The chained hashes of a prompt's whole pieces. */
export interface PrefixChain {
    /** The scope that seeds the chain. */
    scope: PrefixScope;
    /** How many bytes of the prompt a piece covers. */
    blockBytes: number;
    /** The hashes, 32 hexadecimal digits each; the one at n covers pieces 0 to n. */
    hashes: readonly string[];
    /** The length of the whole prompt in bytes. */
    promptBytes: number;
}
