import { expect } from "chai";
import { startKvCacheStoreStandIn } from "../../src/standIns";
import { startKvCacheStoreInstance } from "../support/startKvCacheStoreInstance";

describe("an instance with a KV cache store", () => {
    const prompt = "custody ".repeat(4_096);
    const engineOptions = { prefillTokensPerSecond: 200_000, restartMilliseconds: 50 };

    /** Crashes the engine after the second use of a prompt, and gets the second and third responses and the metrics. */
    async function runTrial(disruptStore: (store: Awaited<ReturnType<typeof startKvCacheStoreStandIn>>) => unknown) {
        const store = await startKvCacheStoreStandIn();
        const trial = await startKvCacheStoreInstance(store.address, engineOptions);
        try {
            await trial.complete(prompt);
            const before = await trial.complete(prompt);
            await trial.until(() => store.getSize() === 1);
            await trial.crashEngine();
            await disruptStore(store);
            const after = await trial.complete(prompt);
            return { before, after, metrics: await trial.getMetrics() };
        }
        finally {
            await trial.stop();
            await store.stop();
        }
    }

    it("imports a long prefix after a crash instead of prefilling it", async () => {
        const { before, after, metrics } = await runTrial(() => {});
        expect(after.cachedTokens).to.be.greaterThan(0).and.equal(before.cachedTokens);
        expect(after.status).to.equal(200);
        expect(metrics).to.match(/basilwing_kept_cache_imports_total 1\n/);
    });

    it("prefills the prefix and counts a failure where the stored data is corrupt", async () => {
        const { after, metrics } = await runTrial(store => store.corrupt());
        expect([after.status, after.cachedTokens]).to.deep.equal([200, 0]);
        expect(metrics).to.match(/basilwing_kept_cache_failures_total 1\n/);
    });

    it("prefills the prefix where the store has stopped", async () => {
        const { after, metrics } = await runTrial(store => store.stop());
        expect([after.status, after.cachedTokens]).to.deep.equal([200, 0]);
        // The lookup fails, and so may the store operation that starts at the end of the response.
        expect(metrics).to.match(/basilwing_kept_cache_failures_total [12]\n/);
    });
});
