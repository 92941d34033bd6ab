/*
 * An engine as a cost model. It prefills one chunk at a time, the most urgent request first, and evicts the least
 * recently used blocks. Decoding takes time per output token but doesn't delay prefill.
 */
import { CacheEvent } from "../../../src/backends";
import { FleetGroundTruth } from "../../../src/experiment/policies";
import { VirtualTime } from "./createVirtualTime";
import { SimulatedRequest } from "./SimulatedRequest";

const blockTokens = 4_096;
const chunkTokens = 4_096;
const outputTokenMilliseconds = 15;

/** The options of a simulated engine. */
export interface SimulatedEngineOptions {
    /** The virtual time in which the engine runs. */
    time: VirtualTime;
    /** The engine's name, which is also its incarnation. */
    name: string;
    /** Records what each engine has actually cached and computed. */
    truth: FleetGroundTruth;
    /** The capacity of the cache, in blocks. */
    cacheBlocks: number;
    /** The speed of prefill. */
    prefillTokensPerSecond: number;
    /** Whether a more urgent request may interrupt a prefill between two chunks. */
    isPreemptive: boolean;
    /** Called for each cache event. */
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

/** A simulated engine. */
export interface SimulatedEngine {
    /**
     * Queues a request for prefill, and decodes its output afterwards.
     * @param request - The request.
     * @param priority - The priority of the prefill; lower numbers run first.
     * @param onFirstToken - Called at the end of the prefill.
     * @param onEnd - Called at the end of the output, with the number of prompt tokens that came from the cache.
     */
    run(
        request: SimulatedRequest,
        priority: number,
        onFirstToken: () => void,
        onEnd: (cachedTokens: number) => void,
    ): void;
    /** Empties the cache, as a crash does. */
    clear(): void;
}

/**
 * Creates an engine with an empty cache.
 * @param options - The options.
 */
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
            time.schedule(run.request.outputTokens * outputTokenMilliseconds, () => run.onEnd(run.cachedTokens));
        }
        startChunk();
    }

    /** Skips the blocks after the computed tokens that are already in the cache. */
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
