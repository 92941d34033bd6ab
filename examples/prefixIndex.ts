/*
 * What one engine holds in its cache, by its events. A gap in their numbers makes what it may hide unsure, an answer
 * makes its own prefix sure again, and a new incarnation forgets everything. Run: npx tsx examples/prefixIndex.ts
 */
import { createPrefixChain, createPrefixIndex } from "../src";

const scope = { workspace: "notebooks", model: "large", version: "8" };
const { hashes } = createPrefixChain("a long notebook ".repeat(16), scope, 64);
const index = createPrefixIndex({ onEventGap: lostEvents => console.log(`lost events: ${lostEvents}`) });

function printCounts(moment: string): void {
    console.log(`${moment}: ${index.getCachedBlocks(hashes)} surely, ${index.getLikelyBlocks(hashes)} likely`);
}

index.addEvent({ number: 1, incarnation: "first", kind: "stored", hashes });
printCounts("after the event");
index.addEvent({ number: 4, incarnation: "first", kind: "stored", hashes: ["f".repeat(32)] });
printCounts("after the gap");
index.addResponse(hashes, hashes.length, "first");
printCounts("after an answer");
index.reset("second");
printCounts("after a restart");
