/*
 * Splits a prompt into blocks and chains their hashes, so that each hash identifies the whole prefix up to its block.
 */
import { createHash } from "node:crypto";
import { PrefixChain } from "./PrefixChain";
import { PrefixScope } from "./PrefixScope";

const hashHexDigits = 32;

/**
 * Creates the hash chain of a prompt.
 * @param prompt - The rendered prompt.
 * @param scope - The workspace, model and weights version, which seed the chain.
 * @param blockBytes - The size of a block in bytes of UTF-8; an incomplete last block has no hash.
 */
export function createPrefixChain(prompt: string, scope: PrefixScope, blockBytes: number): PrefixChain {
    const bytes = Buffer.from(prompt, "utf8");
    const hashes: string[] = [];
    let parent = getSeed(scope);
    for (let end = blockBytes; end <= bytes.length; end += blockBytes) {
        parent = createHash("sha256").update(parent).update(bytes.subarray(end - blockBytes, end)).digest("hex");
        parent = parent.slice(0, hashHexDigits);
        hashes.push(parent);
    }
    return { scope, blockBytes, hashes, promptBytes: bytes.length };
}

/** Gets the value that seeds the chain; the length before each name makes the encoding unambiguous. */
function getSeed(scope: PrefixScope): string {
    const names = [scope.workspace, scope.model, scope.version];
    return names.map(name => `${name.length}:${name}`).join("/");
}
