/*
 * The index of the blocks in one engine's cache, which follows the engine's events. After a gap in the numbers of the
 * events, the indexed blocks are only likely to be cached, since a lost event may have removed them. A response confirms
 * the blocks of its own prompt, and a new incarnation of the engine empties the index.
 *
 * Run: npx tsx examples/prefixIndex.ts
 */
import { createPrefixChain, createPrefixIndex } from "../src";

const scope = { workspace: "notebooks", model: "large", version: "8" };
const { hashes } = createPrefixChain("a long notebook ".repeat(16), scope, 64);
const index = createPrefixIndex({ onEventGap: lostEvents => console.log(`lost events: ${lostEvents}`) });

/** Prints how many blocks of the prompt are cached, and how many are at least likely to be. */
function printCounts(moment: string): void {
    console.log(`${moment}: ${index.getCachedBlocks(hashes)} cached, ${index.getLikelyBlocks(hashes)} likely`);
}

index.addEvent({ number: 1, incarnation: "first", kind: "stored", hashes });
printCounts("after the event");
index.addEvent({ number: 4, incarnation: "first", kind: "stored", hashes: ["f".repeat(32)] });
printCounts("after the gap");
index.addResponse(hashes, hashes.length, "first");
printCounts("after a response");
index.reset("second");
printCounts("after a restart");
