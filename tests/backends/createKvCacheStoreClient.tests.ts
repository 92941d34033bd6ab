import { expect } from "chai";
import { createKvCacheStoreClient, KvCacheStore } from "../../src/backends";
import { KvCacheStoreStandIn, startKvCacheStoreStandIn } from "../../src/standIns";
import { createAutoAdvancingClock } from "../standIns/createAutoAdvancingClock";

const scope = { workspace: "regie", model: "large", version: "1" };
const hashes = ["a", "b", "c"].map(letter => letter.repeat(32));

describe("createKvCacheStoreClient", () => {
    let store: KvCacheStoreStandIn;
    let client: KvCacheStore & { stop(): Promise<void>; };
    let failures: number;

    beforeEach(async () => {
        store = await startKvCacheStoreStandIn({ clock: createAutoAdvancingClock() });
        client = createKvCacheStoreClient({ address: store.address, onFailure: () => failures++ });
        failures = 0;
        await client.write(scope, hashes[1]!, Buffer.from("data"));
    });

    afterEach(async () => {
        await client.stop();
        await store.stop();
    });

    it("returns what was written", async () => {
        expect(Buffer.from((await client.read(scope, hashes[1]!))!).toString()).to.equal("data");
        expect(await client.read(scope, hashes[0]!)).to.equal(undefined);
    });

    it("counts the blocks that the longest stored prefix covers", async () => {
        expect(await client.countStoredBlocks(scope, hashes)).to.equal(2);
        expect(await client.countStoredBlocks(scope, hashes.slice(0, 1))).to.equal(0);
    });

    for (const change of [{ workspace: "corrib" }, { model: "small" }, { version: "2" }]) {
        it(`separates scopes by ${Object.keys(change)[0]}`, async () => {
            expect(await client.read({ ...scope, ...change }, hashes[1]!)).to.equal(undefined);
        });
    }

    it("rejects data that has been changed", async () => {
        store.corrupt();
        expect(await client.read(scope, hashes[1]!)).to.equal(undefined);
        expect(failures).to.equal(1);
    });

    it("returns nothing if the store does not respond", async () => {
        await store.stop();
        expect(await client.read(scope, hashes[1]!)).to.equal(undefined);
        expect(await client.countStoredBlocks(scope, hashes)).to.equal(0);
        expect(await client.write(scope, hashes[0]!, Buffer.from("data"))).to.equal(false);
        expect(failures).to.equal(3);
    });

    it("does not report a prefix that is not stored, or a cancelled call, as a failure", async () => {
        expect(await client.read(scope, hashes[0]!)).to.equal(undefined);
        expect(await client.countStoredBlocks(scope, hashes, AbortSignal.abort())).to.equal(0);
        expect(failures).to.equal(0);
    });

    it("counts over more blocks than one group of concurrent lookups", async () => {
        const chain = Array.from({ length: 30 }, (...[, index]) => index.toString(16).padStart(32, "0"));
        await client.write(scope, chain[4]!, Buffer.from("data"));
        expect(await client.countStoredBlocks(scope, chain)).to.equal(5);
    });
});
