/*
 * Measures the time to the first token of a long prompt on an engine that has just crashed, with and without a KV cache
 * store, one trial after the other: `npx tsx scripts/measure/measureKeptCache.ts --rounds 5`. The engine and
 * the store are stand-ins with their default speeds: 20,000 prefill tokens per second, 10 ms per imported block, 5 ms per
 * access to the store.
 */
import { parseArgs } from "node:util";
import { startKvCacheStoreStandIn } from "../../src/standIns";
import { startKvCacheStoreInstance } from "../../tests/support/startKvCacheStoreInstance";

const { values } = parseArgs({
    options: {
        rounds: { type: "string", default: "5" },
        pieces: { type: "string", default: "4,8,16" },
    },
});
const blockBytes = 4_096;

void measure();

/** Measures each prompt length without and with a store, and prints one line for each trial. */
async function measure(): Promise<void> {
    for (const blockCount of values.pieces.split(",").map(Number)) {
        await measureTrial(blockCount, false);
        await measureTrial(blockCount, true);
    }
}

async function measureTrial(blockCount: number, hasStore: boolean): Promise<void> {
    const store = await startKvCacheStoreStandIn();
    const trial = await startKvCacheStoreInstance(hasStore ? store.address : undefined, { restartMilliseconds: 50 });
    const prompt = "custody ".repeat(blockCount * blockBytes / 8);
    await trial.complete(prompt);
    const warm = await trial.complete(prompt);
    if (hasStore) {
        await trial.until(() => store.getSize() === 1);
    }
    const cold: number[] = [];
    let cachedTokens = 0;
    for (let round = 0; round < Number(values.rounds); round++) {
        await trial.crashEngine();
        const response = await trial.complete(prompt);
        cold.push(Math.round(response.firstTokenMilliseconds ?? NaN));
        cachedTokens += response.cachedTokens;
    }
    await trial.stop();
    await store.stop();
    const line = {
        pieces: blockCount,
        store: hasStore,
        warmMilliseconds: Math.round(warm.firstTokenMilliseconds ?? NaN),
        coldMilliseconds: cold.sort((left, right) => left - right),
        cachedTokensPerAnswer: cachedTokens / Number(values.rounds),
    };
    process.stdout.write(`${JSON.stringify(line)}\n`);
}
