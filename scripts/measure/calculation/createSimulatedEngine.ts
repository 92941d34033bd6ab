/*
 * An engine as a cost model: prefill in chunks, one at a time, the most urgent first; least recently used pieces are
 * evicted; answers take time but no prefill.
 */
import { CacheEvent } from "../../../src/backends";
import { FleetGroundTruth } from "../../../src/experiment/policies";
import { VirtualTime } from "./createVirtualTime";
import { SimulatedRequest } from "./SimulatedRequest";

const blockTokens = 4_096;
const chunkTokens = 4_096;
const outputTokenMilliseconds = 15;

/** The options of a model engine. */
export interface SimulatedEngineOptions {
    time: VirtualTime;
    name: string;
    truth: FleetGroundTruth;
    cacheBlocks: number;
    prefillTokensPerSecond: number;
    /** Whether more urgent requests go first between chunks. */
    isPreemptive: boolean;
    onEvent: (event: CacheEvent) => void;
}

interface QueuedRequest {
    request: SimulatedRequest;
    priority: number;
    order: number;
    doneTokens: number;
    cachedTokens: number;
    onFirstToken: () => void;
    onEnd: (cachedTokens: number) => void;
}

/** A calculated engine. */
export interface SimulatedEngine {
    /** Runs a request. */
    run(
        request: SimulatedRequest,
        priority: number,
        onFirstToken: () => void,
        onEnd: (cachedTokens: number) => void,
    ): void;
    /** Loses everything that is cached. */
    clear(): void;
}

/** Creates an engine with an empty cache. */
export function createSimulatedEngine(options: SimulatedEngineOptions): SimulatedEngine {
    const { time, name, truth, cacheBlocks, prefillTokensPerSecond, isPreemptive, onEvent } = options;
    const cached = new Set<string>();
    const waiting = new Set<QueuedRequest>();
    let isBusy = false;
    let nextOrder = 0;
    let nextEventNumber = 1;
    return { run, clear };

    function run(
        request: SimulatedRequest,
        enginePriority: number,
        onFirstToken: () => void,
        onEnd: (cachedTokens: number) => void,
    ): void {
        const priority = isPreemptive ? enginePriority : 0;
        const order = nextOrder++;
        waiting.add({ request, priority, order, doneTokens: 0, cachedTokens: 0, onFirstToken, onEnd });
        if (!isBusy) {
            startChunk();
        }
    }

    function clear(): void {
        cached.clear();
        truth.recordCleared(name);
        onEvent({ number: nextEventNumber++, incarnation: name, kind: "cleared", hashes: [] });
    }

    function startChunk(): void {
        const next = getNext();
        isBusy = next !== undefined;
        if (next === undefined) {
            return;
        }
        skipCachedBlocks(next);
        const remaining = Math.max(1, next.request.promptTokens - next.doneTokens);
        const tokens = isPreemptive ? Math.min(remaining, chunkTokens - next.doneTokens % chunkTokens) : remaining;
        time.schedule(tokens * 1_000 / prefillTokensPerSecond, () => endChunk(next, tokens));
    }

    function endChunk(run: QueuedRequest, tokens: number): void {
        const first = Math.floor(run.doneTokens / blockTokens);
        run.doneTokens += tokens;
        const blocks = run.request.hashes.slice(first, Math.floor(run.doneTokens / blockTokens));
        truth.recordComputed(name, run.request.id, blocks, tokens);
        store(blocks);
        if (run.doneTokens >= run.request.promptTokens) {
            waiting.delete(run);
            truth.recordPrefilled(name, run.request.id);
            markUsed(run.request.hashes);
            run.onFirstToken();
            time.schedule(run.request.answerTokens * outputTokenMilliseconds, () => run.onEnd(run.cachedTokens));
        }
        startChunk();
    }

    /** Takes over what the cache holds beyond what has been computed. */
    function skipCachedBlocks(run: QueuedRequest): void {
        let blocks = Math.floor(run.doneTokens / blockTokens);
        while (blocks < run.request.hashes.length && cached.has(run.request.hashes[blocks]!)) {
            blocks++;
        }
        const found = Math.max(0, blocks * blockTokens - run.doneTokens);
        run.cachedTokens += found;
        run.doneTokens += found;
        markUsed(run.request.hashes.slice(0, blocks));
    }

    function markUsed(hashes: readonly string[]): void {
        for (const hash of hashes.toReversed()) {
            if (cached.delete(hash)) {
                cached.add(hash);
            }
        }
    }

    function store(hashes: readonly string[]): void {
        const added = hashes.filter(hash => !cached.has(hash));
        added.forEach(hash => cached.add(hash));
        added.forEach(hash => truth.recordStored(name, hash));
        const removed: string[] = [];
        for (const hash of cached) {
            if (cached.size <= cacheBlocks) {
                break;
            }
            cached.delete(hash);
            removed.push(hash);
        }
        removed.forEach(hash => truth.recordRemoved(name, hash));
        publish("stored", added);
        publish("removed", removed);
    }

    function publish(kind: CacheEvent["kind"], hashes: readonly string[]): void {
        if (hashes.length > 0) {
            onEvent({ number: nextEventNumber++, incarnation: name, kind, hashes });
        }
    }

    function getNext(): QueuedRequest | undefined {
        let best: QueuedRequest | undefined;
        for (const run of waiting) {
            if (best === undefined || run.priority < best.priority) {
                best = run;
            }
        }
        return best;
    }
}
