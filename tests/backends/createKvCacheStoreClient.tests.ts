import { expect } from "chai";
import { createKvCacheStoreClient, KvCacheStore } from "../../src/backends";
import { KvCacheStoreStandIn, startKvCacheStoreStandIn } from "../../src/standIns";
import { createAutoAdvancingClock } from "../standIns/createAutoAdvancingClock";

const scope = { workspace: "regie", model: "large", version: "1" };
const hashes = ["a", "b", "c"].map(letter => letter.repeat(32));

describe("createKeptCacheClient", () => {
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

    it("gives back what was written", async () => {
        expect(Buffer.from((await client.read(scope, hashes[1]!))!).toString()).to.equal("data");
        expect(await client.read(scope, hashes[0]!)).to.equal(undefined);
    });

    it("counts the pieces that the longest kept prefix covers", async () => {
        expect(await client.countStoredBlocks(scope, hashes)).to.equal(2);
        expect(await client.countStoredBlocks(scope, hashes.slice(0, 1))).to.equal(0);
    });

    for (const change of [{ workspace: "corrib" }, { model: "small" }, { version: "2" }]) {
        it(`keeps scopes apart by ${Object.keys(change)[0]}`, async () => {
            expect(await client.read({ ...scope, ...change }, hashes[1]!)).to.equal(undefined);
        });
    }

    it("takes no data that has been changed", async () => {
        store.corrupt();
        expect(await client.read(scope, hashes[1]!)).to.equal(undefined);
        expect(failures).to.equal(1);
    });

    it("gives nothing where the store does not answer", async () => {
        await store.stop();
        expect(await client.read(scope, hashes[1]!)).to.equal(undefined);
        expect(await client.countStoredBlocks(scope, hashes)).to.equal(0);
        expect(await client.write(scope, hashes[0]!, Buffer.from("data"))).to.equal(false);
        expect(failures).to.equal(3);
    });

    it("takes a prefix that is not kept, and a call that is given up, for no failure", async () => {
        expect(await client.read(scope, hashes[0]!)).to.equal(undefined);
        expect(await client.countStoredBlocks(scope, hashes, AbortSignal.abort())).to.equal(0);
        expect(failures).to.equal(0);
    });

    it("counts over more pieces than are asked for at once", async () => {
        const chain = Array.from({ length: 30 }, (...[, index]) => index.toString(16).padStart(32, "0"));
        await client.write(scope, chain[4]!, Buffer.from("data"));
        expect(await client.countStoredBlocks(scope, chain)).to.equal(5);
    });
});
