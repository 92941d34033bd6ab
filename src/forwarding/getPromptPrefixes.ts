/*
 * Lists the prefixes by which a prompt is compared with others. Each digest covers the one before it, so that the time for
 * all of them is in proportion to the number of parts, and has a bounded length. Of a prompt with many parts only some prefixes are listed, at
 * distances in proportion to their length: two prompts are found to share at least seven eighths of the parts that they
 * share, and the number of digests grows with the logarithm of the number of parts.
 */
import { createHash } from "node:crypto";
import { PromptPart } from "./PromptPart";
import { PromptPrefix } from "./PromptPrefix";

/** The number of listed prefixes between a number of parts and its double; a power of two. */
const prefixesPerDoubling = 8;
/** The length of a digest, in bytes; a collision costs a wrong estimate of what is cached, never a wrong response. */
const digestBytes = 12;
/** The maximum length of ids that are their own digest, since hashing costs more than comparing them, in characters. */
const maximumPlainLength = 64;

/**
 * Gets the prefixes that other prompts may share, the longest first. The whole prompt is none, as its last part is its
 * own.
 * @param parts - The prompt's parts in order.
 */
export function getPromptPrefixes(parts: readonly PromptPart[]): readonly PromptPrefix[] {
    const prefixes: PromptPrefix[] = [];
    const sharedCount = parts.length - 1;
    let digest = "";
    let start = 0;
    for (let partCount = 1; partCount <= sharedCount; partCount++) {
        if (partCount === sharedCount || isListed(partCount)) {
            const ids = parts.slice(start, partCount).map(part => part.id).join(",");
            digest = getDigest(digest === "" ? ids : `${digest},${ids}`);
            prefixes.unshift({ digest, partCount });
            start = partCount;
        }
    }
    return prefixes;
}

/** Returns whether prefixes of a length are listed; this depends on nothing else, so that prompts can be compared. */
function isListed(partCount: number): boolean {
    const distance = 2 ** Math.floor(Math.log2(partCount)) / prefixesPerDoubling;
    return distance <= 1 || partCount % distance === 0;
}

function getDigest(text: string): string {
    if (text.length <= maximumPlainLength) {
        return text;
    }
    return createHash("sha256").update(text).digest().toString("base64url", 0, digestBytes);
}
