/*
 * Cuts a prompt into pieces and chains their hashes.
 */
import { createHash } from "node:crypto";
import { PrefixChain } from "./PrefixChain";
import { PrefixScope } from "./PrefixScope";

const hashHexDigits = 32;

/**
 * Creates the chain of a prompt.
 * @param prompt - The rendered prompt.
 * @param scope - The workspace, model and weights version, which seed the chain.
 * @param blockBytes - How many bytes of UTF-8 a piece covers; the rest after the last whole piece has no hash.
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

/** Gets the value that the chain starts from; the length of each name keeps scopes apart. */
function getSeed(scope: PrefixScope): string {
    const names = [scope.workspace, scope.model, scope.version];
    return names.map(name => `${name.length}:${name}`).join("/");
}
