import { expect } from "chai";
import { KeptCacheStore } from "../../../src/backends";
import { createKvCachePolicy, createKvCacheTransfer, createPrefixIndex } from "../../../src/sidecar";
import { createManualClock } from "../../support/createManualClock";

describe("createKeptCache", () => {
    const scope = { workspace: "regie", model: "large", version: "1" };
    const { signal } = new AbortController();
    const hashes = [..."abcdef"].map(letter => letter.repeat(32));

    function createBench(changes: { readsNothing?: boolean; refusesExport?: boolean; hangs?: boolean; } = {}) {
        const entries = new Map<string, Uint8Array>();
        const index = createPrefixIndex();
        const clock = createManualClock();
        const failures: number[] = [];
        const readSignals: (AbortSignal | undefined)[] = [];
        const imports: number[] = [];
        const store: KeptCacheStore = {
            countKept: async (otherScope, chain) =>
                otherScope.workspace === scope.workspace ? chain.findLastIndex(hash => entries.has(hash)) + 1 : 0,
            read: async (...[, hash, readSignal]) => {
                readSignals.push(readSignal);
                await (changes.hangs ? new Promise(() => {}) : undefined);
                return changes.readsNothing ? undefined : entries.get(hash);
            },
            write: async (...[, hash, data]) => entries.set(hash, data) !== undefined,
        };
        const keptCache = createKvCacheTransfer({
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
        return { clock, entries, failures, index, imports, keptCache, readSignals };
    }

    describe("keepPrefix", () => {
        async function doTest(prompts: readonly (readonly string[])[], expectedKept: readonly string[]) {
            const { entries, keptCache } = createBench();
            for (const prompt of prompts) {
                await keptCache.storePrefix(scope, prompt, signal);
            }
            expect([...entries.keys()].map(hash => hash[0])).to.deep.equal(expectedKept);
        }

        it("keeps nothing that was used once", () => doTest([hashes], []));
        it("keeps the longest beginning that was used twice", () => doTest([hashes, hashes.slice(0, 5)], ["e"]));
        it("keeps it once", () => doTest([hashes, hashes, hashes], ["f"]));
        it("keeps nothing that is cheap to compute", () => doTest([hashes.slice(0, 3), hashes.slice(0, 3)], []));

        it("tries again what could not be exported", async () => {
            const changes = { refusesExport: true };
            const { entries, keptCache } = createBench(changes);
            await keptCache.storePrefix(scope, hashes, signal);
            await keptCache.storePrefix(scope, hashes, signal);
            changes.refusesExport = false;
            await keptCache.storePrefix(scope, hashes, signal);
            expect(entries.size).to.equal(1);
        });
    });

    describe("importPrefix", () => {
        async function doTest(keptPieces: number, cachedPieces: number, expected: number): Promise<void> {
            const bench = createBench();
            bench.entries.set(hashes[keptPieces - 1]!, new Uint8Array(1));
            bench.index.addResponse(hashes.slice(0, cachedPieces), 0);
            expect(await bench.keptCache.importPrefix(scope, hashes, signal)).to.equal(expected);
            expect(bench.imports).to.deep.equal(expected === 0 ? [] : [expected]);
        }

        it("imports what the engine lacks", () => doTest(5, 0, 5));
        it("imports nothing where the engine holds as much", () => doTest(3, 3, 0));
        it("imports nothing where little is missing", () => doTest(6, 5, 0));

        it("imports nothing of another scope", async () => {
            const bench = createBench();
            bench.entries.set(hashes[5]!, new Uint8Array(1));
            const other = { ...scope, workspace: "corrib" };
            expect(await bench.keptCache.importPrefix(other, hashes, signal)).to.equal(0);
        });

        it("imports nothing that the store could not give whole", async () => {
            const bench = createBench({ readsNothing: true });
            bench.entries.set(hashes[5]!, new Uint8Array(1));
            expect(await bench.keptCache.importPrefix(scope, hashes, signal)).to.equal(0);
            expect(bench.imports).to.deep.equal([]);
        });

        it("gives up an import once computing would have been better, and leaves the store alone for 10 s", async () => {
            const changes = { hangs: true };
            const bench = createBench(changes);
            bench.entries.set(hashes[5]!, new Uint8Array(1));
            const importing = bench.keptCache.importPrefix(scope, hashes, signal);
            await bench.clock.advance(841);
            expect(await importing).to.equal(0);
            expect(bench.failures.map(Math.round)).to.deep.equal([840]);
            expect(bench.readSignals[0]?.aborted).to.equal(true);
            changes.hangs = false;
            expect(await bench.keptCache.importPrefix(scope, hashes, signal)).to.equal(0);
            await bench.clock.advance(10_000);
            expect(await bench.keptCache.importPrefix(scope, hashes, signal)).to.equal(6);
        });

        it("lets a prefix be kept again that the store has lost", async () => {
            const bench = createBench();
            await bench.keptCache.storePrefix(scope, hashes, signal);
            await bench.keptCache.storePrefix(scope, hashes, signal);
            bench.entries.clear();
            await bench.keptCache.importPrefix(scope, hashes, signal);
            await bench.keptCache.storePrefix(scope, hashes, signal);
            expect([...bench.entries.keys()]).to.deep.equal([hashes[5]]);
        });
    });
});
