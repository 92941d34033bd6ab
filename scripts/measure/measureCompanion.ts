/*
 * Measures the cost of a sidecar's prefix index at several sizes, each in a separate process: memory per block, and
 * processor time per cache event and lookup. Prints one line of JSON for each figure.
 */
import { fork } from "node:child_process";
import { createHash } from "node:crypto";
import { once } from "node:events";
import { createPrefixIndex } from "../../src/sidecar";
import { printFigure } from "./printFigure";

const sizes = [42_000, 84_000, 168_421, 252_000];
const eventCount = 200_000;
const lookupCount = 20_000;
const hashCharacters = 32;
const chainBlocks = 16;

if (process.argv[2] === undefined) {
    void measureAll();
}
else {
    measureSize(Number(process.argv[2]));
}

async function measureAll(): Promise<void> {
    for (const size of sizes) {
        const child = fork(process.argv[1]!, [String(size)], { execArgv: process.execArgv });
        const [code] = await once(child, "close") as [number];
        process.exitCode = code === 0 ? process.exitCode : 1;
    }
}

function measureSize(size: number): void {
    const index = createPrefixIndex({ maximumBlocks: 2 * size });
    const before = getBytes();
    let number = 1;
    for (let block = 0; block < size; block++) {
        index.addEvent({ number: number++, incarnation: "1", kind: "stored", hashes: [getHash(block)] });
    }
    printFigure(`companion.index.${size}.memory`, getBytes() - before, "bytes");
    printFigure(`companion.index.${size}.resident`, process.memoryUsage().rss, "bytes");
    const hashes = [...Array(eventCount).keys()].map(event => getHash(event % size));
    const added = [...Array(eventCount).keys()].map(event => getHash(size + event));
    const events = getMicroseconds(() => {
        for (let event = 0; event < eventCount; event += 2) {
            index.addEvent({ number: number++, incarnation: "1", kind: "removed", hashes: [hashes[event % size]!] });
            index.addEvent({ number: number++, incarnation: "1", kind: "stored", hashes: [added[event]!] });
        }
    });
    printFigure(`companion.index.${size}.event`, events / eventCount, "us/event");
    const lookups = getMicroseconds(() => {
        for (let lookup = 0; lookup < lookupCount; lookup++) {
            index.getCachedBlocks(added.slice(lookup, lookup + chainBlocks));
        }
    });
    printFigure(`companion.index.${size}.lookup`, lookups / lookupCount, "us/lookup of 16 pieces");
}

/** Gets the processor time of a task in microseconds. */
function getMicroseconds(task: () => void): number {
    const before = process.cpuUsage();
    task();
    const { user, system } = process.cpuUsage(before);
    return user + system;
}

function getBytes(): number {
    globalThis.gc?.();
    globalThis.gc?.();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}

function getHash(block: number): string {
    return createHash("sha256").update(String(block)).digest("hex").slice(0, hashCharacters);
}
