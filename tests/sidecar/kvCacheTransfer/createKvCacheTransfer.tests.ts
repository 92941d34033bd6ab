import { expect } from "chai";
import { KvCacheStore } from "../../../src/backends";
import { createKvCachePolicy, createKvCacheTransfer, createPrefixIndex } from "../../../src/sidecar";
import { createManualClock } from "../../support/createManualClock";

describe("createKvCacheTransfer", () => {
    const scope = { workspace: "regie", model: "large", version: "1" };
    const { signal } = new AbortController();
    const hashes = [..."abcdef"].map(letter => letter.repeat(32));

    function createHarness(changes: { readsNothing?: boolean; refusesExport?: boolean; hangs?: boolean; } = {}) {
        const entries = new Map<string, Uint8Array>();
        const index = createPrefixIndex();
        const clock = createManualClock();
        const failures: number[] = [];
        const readSignals: (AbortSignal | undefined)[] = [];
        const imports: number[] = [];
        const store: KvCacheStore = {
            countStoredBlocks: async (otherScope, chain) =>
                otherScope.workspace === scope.workspace ? chain.findLastIndex(hash => entries.has(hash)) + 1 : 0,
            read: async (...[, hash, readSignal]) => {
                readSignals.push(readSignal);
                await (changes.hangs ? new Promise(() => {}) : undefined);
                return changes.readsNothing ? undefined : entries.get(hash);
            },
            write: async (...[, hash, data]) => entries.set(hash, data) !== undefined,
        };
        const kvCacheTransfer = createKvCacheTransfer({
            store,
            index,
            clock,
            onFailure: () => void failures.push(clock.getMonotonicMilliseconds()),
            policy: createKvCachePolicy({ prefillMillisecondsPerBlock: 200 }),
            adapter: {
                importCache: async chain => imports.push(chain.length) > 0,
                exportCache: async () => changes.refusesExport ? undefined : new Uint8Array(1),
            },
        });
        return { clock, entries, failures, index, imports, kvCacheTransfer, readSignals };
    }

    describe("storePrefix", () => {
        async function doTest(prompts: readonly (readonly string[])[], expectedStored: readonly string[]) {
            const { entries, kvCacheTransfer } = createHarness();
            for (const prompt of prompts) {
                await kvCacheTransfer.storePrefix(scope, prompt, signal);
            }
            expect([...entries.keys()].map(hash => hash[0])).to.deep.equal(expectedStored);
        }

        it("stores nothing that was used once", () => doTest([hashes], []));
        it("stores the longest prefix that was used twice", () => doTest([hashes, hashes.slice(0, 5)], ["e"]));
        it("stores a prefix once", () => doTest([hashes, hashes, hashes], ["f"]));
        it("stores nothing that is cheap to compute", () => doTest([hashes.slice(0, 3), hashes.slice(0, 3)], []));

        it("retries a prefix that could not be exported", async () => {
            const changes = { refusesExport: true };
            const { entries, kvCacheTransfer } = createHarness(changes);
            await kvCacheTransfer.storePrefix(scope, hashes, signal);
            await kvCacheTransfer.storePrefix(scope, hashes, signal);
            changes.refusesExport = false;
            await kvCacheTransfer.storePrefix(scope, hashes, signal);
            expect(entries.size).to.equal(1);
        });
    });

    describe("importPrefix", () => {
        async function doTest(storedBlocks: number, cachedBlocks: number, expected: number): Promise<void> {
            const harness = createHarness();
            harness.entries.set(hashes[storedBlocks - 1]!, new Uint8Array(1));
            harness.index.addResponse(hashes.slice(0, cachedBlocks), 0);
            expect(await harness.kvCacheTransfer.importPrefix(scope, hashes, signal)).to.equal(expected);
            expect(harness.imports).to.deep.equal(expected === 0 ? [] : [expected]);
        }

        it("imports a prefix that the engine lacks", () => doTest(5, 0, 5));
        it("imports nothing if the engine holds as much", () => doTest(3, 3, 0));
        it("imports nothing if little is missing", () => doTest(6, 5, 0));

        it("imports nothing of another scope", async () => {
            const harness = createHarness();
            harness.entries.set(hashes[5]!, new Uint8Array(1));
            const other = { ...scope, workspace: "corrib" };
            expect(await harness.kvCacheTransfer.importPrefix(other, hashes, signal)).to.equal(0);
        });

        it("imports nothing that the store could not return completely", async () => {
            const harness = createHarness({ readsNothing: true });
            harness.entries.set(hashes[5]!, new Uint8Array(1));
            expect(await harness.kvCacheTransfer.importPrefix(scope, hashes, signal)).to.equal(0);
            expect(harness.imports).to.deep.equal([]);
        });

        it("abandons an import once computing would be faster, and pauses imports for 10 s", async () => {
            const changes = { hangs: true };
            const harness = createHarness(changes);
            harness.entries.set(hashes[5]!, new Uint8Array(1));
            const importing = harness.kvCacheTransfer.importPrefix(scope, hashes, signal);
            await harness.clock.advance(841);
            expect(await importing).to.equal(0);
            expect(harness.failures.map(Math.round)).to.deep.equal([840]);
            expect(harness.readSignals[0]?.aborted).to.equal(true);
            changes.hangs = false;
            expect(await harness.kvCacheTransfer.importPrefix(scope, hashes, signal)).to.equal(0);
            await harness.clock.advance(10_000);
            expect(await harness.kvCacheTransfer.importPrefix(scope, hashes, signal)).to.equal(6);
        });

        it("allows a prefix that the store has lost to be stored again", async () => {
            const harness = createHarness();
            await harness.kvCacheTransfer.storePrefix(scope, hashes, signal);
            await harness.kvCacheTransfer.storePrefix(scope, hashes, signal);
            harness.entries.clear();
            await harness.kvCacheTransfer.importPrefix(scope, hashes, signal);
            await harness.kvCacheTransfer.storePrefix(scope, hashes, signal);
            expect([...harness.entries.keys()]).to.deep.equal([hashes[5]]);
        });
    });
});
