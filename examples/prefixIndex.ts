/*
 * What one engine holds in its cache, by its events. A gap in their numbers makes what it may hide unsure, an answer
 * makes its own prefix sure again, and a new incarnation forgets everything. Run: npx tsx examples/prefixIndex.ts
 */
import { createPrefixChain, createPrefixIndex } from "../src";

const scope = { workspace: "notebooks", model: "large", version: "8" };
const { hashes } = createPrefixChain("a long notebook ".repeat(16), scope, 64);
const index = createPrefixIndex({ onEventGap: lostEvents => console.log(`lost events: ${lostEvents}`) });

function print(moment: string): void {
    console.log(`${moment}: ${index.getCachedBlocks(hashes)} surely, ${index.getLikelyBlocks(hashes)} likely`);
}

index.addEvent({ number: 1, incarnation: "first", kind: "stored", hashes });
print("after the event");
index.addEvent({ number: 4, incarnation: "first", kind: "stored", hashes: ["f".repeat(32)] });
print("after the gap");
index.addResponse(hashes, hashes.length, "first");
print("after an answer");
index.reset("second");
print("after a restart");
