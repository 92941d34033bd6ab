/*
 * Measures a sidecar's cost of following an engine's cache events over a loopback connection: reading, parsing and
 * indexing, at several rates of events and of writes. The engine's side runs in a separate process. Also measures the cost
 * of querying the engine's load. Prints one line of JSON for each figure.
 */
import { fork } from "node:child_process";
import { createHash } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:http";
import { AddressInfo } from "node:net";
import { createEngineAdapter } from "../../src/backends";
import { createSystemClock } from "../../src/runtime";
import { createPrefixIndex } from "../../src/sidecar";
import { printFigure } from "./printFigure";

const rates = [300, 600, 1_211, 2_400];
const designRate = 1_211;
const arrivalRates = [10, 25, 50, 100];
const queryRates = [5, 20, 50, 80];
const fewArrivals = 5;
const cachedBlocks = 168_421;
const secondsPerRate = 6;
const hashCharacters = 32;
const clock = createSystemClock();

if (process.argv[2] === "engine") {
    void runEngine();
}
else {
    void measure();
}

/** The pace at which an engine publishes cache events. */
interface Pace {
    /** The events per second. */
    rate: number;
    /** The writes to the connection per second, into which the events are batched. */
    arrivals: number;
}

/** Publishes events at the pace of the parent's most recent message. */
async function runEngine(): Promise<void> {
    let pace: Pace = { rate: 0, arrivals: fewArrivals };
    let number = 1;
    process.on("message", message => void (pace = message as Pace));
    process.on("disconnect", () => process.exit());
    const server = createServer();
    server.on("request", (request, response) => {
        if (request.url === "/load") {
            response.end(JSON.stringify({ incarnation: "1", version: "1", running: 0, waiting: 0 }));
            return;
        }
        void publish(text => void response.write(text));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    process.send!((server.address() as AddressInfo).port);

    async function publish(write: (text: string) => void): Promise<void> {
        write("\n");
        while (true) {
            const count = Math.round(pace.rate / pace.arrivals);
            const lines = [...Array(count).keys()].map(() => JSON.stringify(createEvent(number++)));
            write(lines.map(line => `${line}\n`).join(""));
            await clock.sleep(1_000 / pace.arrivals);
        }
    }
}

/** Creates an event; blocks are stored and removed alternately. */
function createEvent(number: number) {
    const kind = number % 2 === 0 ? "removed" : "stored";
    const block = kind === "stored" ? cachedBlocks + number : (number / 2) % cachedBlocks;
    return { number, incarnation: "1", kind, hashes: [getHash(block)] };
}

async function measure(): Promise<void> {
    const child = fork(process.argv[1]!, ["engine"], { execArgv: process.execArgv });
    const [port] = await once(child, "message") as [number];
    const adapter = createEngineAdapter({ address: `http://127.0.0.1:${port}` });
    const index = createPrefixIndex({ maximumBlocks: 2 * cachedBlocks });
    for (let block = 0; block < cachedBlocks; block++) {
        index.addEvent({ number: block + 1, incarnation: "0", kind: "stored", hashes: [getHash(block)] });
    }
    let count = 0;
    const stopping = new AbortController();
    const following = follow();
    child.send({ rate: Math.max(...rates), arrivals: Math.max(...arrivalRates) });
    await clock.sleep(secondsPerRate * 1_000);
    for (const rate of rates) {
        await measurePace(`cacheEvents.${rate}`, { rate, arrivals: fewArrivals });
    }
    for (const arrivals of arrivalRates) {
        await measurePace(`cacheEvents.arrivals.${arrivals}`, { rate: designRate, arrivals });
    }
    child.send({ rate: 0, arrivals: fewArrivals });
    for (const rate of queryRates) {
        await measureLoadQueries(rate);
    }
    stopping.abort();
    await following;
    child.disconnect();
    await adapter.stop();

    async function measurePace(name: string, pace: Pace): Promise<void> {
        child.send(pace);
        await clock.sleep(1_000);
        const countBefore = count;
        const start = performance.now();
        const before = process.cpuUsage();
        await clock.sleep(secondsPerRate * 1_000);
        const { user, system } = process.cpuUsage(before);
        const seconds = (performance.now() - start) / 1_000;
        printFigure(`${name}.achieved`, (count - countBefore) / seconds, "events/s");
        printFigure(`${name}.processor`, (user + system) / seconds, "us/s");
    }

    /** Measures the cost of querying the engine's load. */
    async function measureLoadQueries(rate: number): Promise<void> {
        const end = performance.now() + secondsPerRate * 1_000;
        const start = performance.now();
        const before = process.cpuUsage();
        let queries = 0;
        while (performance.now() < end) {
            await adapter.getLoad(stopping.signal);
            queries++;
            await clock.sleep(1_000 / rate);
        }
        const { user, system } = process.cpuUsage(before);
        const seconds = (performance.now() - start) / 1_000;
        printFigure(`backendState.${rate}.achieved`, queries / seconds, "questions/s");
        printFigure(`backendState.${rate}.processor`, (user + system) / seconds, "us/s");
    }

    async function follow(): Promise<void> {
        for await (const event of adapter.watchCacheEvents(1, stopping.signal)) {
            count++;
            index.addEvent(event);
        }
    }
}

function getHash(block: number): string {
    return createHash("sha256").update(String(block)).digest("hex").slice(0, hashCharacters);
}
