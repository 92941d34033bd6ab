/*
 * A prompt as a chain of block hashes: prompts with a shared prefix have equal hashes for its blocks.
 */
import { PrefixScope } from "./PrefixScope";

/** The chained hashes of a prompt's complete blocks. */
export interface PrefixChain {
    /** The scope that seeds the chain. */
    scope: PrefixScope;
    /** The size of a block in bytes of UTF-8. */
    blockBytes: number;
    /** The hashes, 32 hexadecimal digits each; the hash at index n covers blocks 0 to n. */
    hashes: readonly string[];
    /** The length of the whole prompt in bytes of UTF-8. */
    promptBytes: number;
}
