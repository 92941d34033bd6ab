/*
 * An engine as a cost model: prefill in chunks, one at a time, the most urgent first; least recently used pieces are
 * evicted; answers take time but no prefill.
 */
import { CacheEvent } from "../../../src/backends";
import { FleetGroundTruth } from "../../../src/experiment/policies";
import { VirtualTime } from "./createVirtualTime";
import { ModelRequest } from "./ModelRequest";

const pieceTokens = 4_096;
const chunkTokens = 4_096;
const tokenMilliseconds = 15;

/** The options of a model engine. */
export interface ModelEngineOptions {
    time: VirtualTime;
    name: string;
    truth: FleetGroundTruth;
    cachePieces: number;
    prefillTokensPerSecond: number;
    /** Whether more urgent requests go first between chunks. */
    isPreemptive: boolean;
    onEvent: (event: CacheEvent) => void;
}

interface EngineRun {
    request: ModelRequest;
    priority: number;
    order: number;
    doneTokens: number;
    cachedTokens: number;
    onFirstToken: () => void;
    onEnd: (cachedTokens: number) => void;
}

/** A calculated engine. */
export interface ModelEngine {
    /** Runs a request. */
    run(request: ModelRequest, priority: number, onFirstToken: () => void, onEnd: (cachedTokens: number) => void): void;
    /** Loses everything that is cached. */
    clear(): void;
}

/** Creates an engine with an empty cache. */
export function createModelEngine(options: ModelEngineOptions): ModelEngine {
    const { time, name, truth, cachePieces, prefillTokensPerSecond, isPreemptive, onEvent } = options;
    const cached = new Set<string>();
    const waiting = new Set<EngineRun>();
    let isBusy = false;
    let nextOrder = 0;
    let nextEvent = 1;
    return { run, clear };

    function run(
        request: ModelRequest,
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
        onEvent({ number: nextEvent++, incarnation: name, kind: "cleared", hashes: [] });
    }

    function startChunk(): void {
        const next = getNext();
        isBusy = next !== undefined;
        if (next === undefined) {
            return;
        }
        takeCached(next);
        const remaining = Math.max(1, next.request.promptTokens - next.doneTokens);
        const tokens = isPreemptive ? Math.min(remaining, chunkTokens - next.doneTokens % chunkTokens) : remaining;
        time.after(tokens * 1_000 / prefillTokensPerSecond, () => endChunk(next, tokens));
    }

    function endChunk(run: EngineRun, tokens: number): void {
        const first = Math.floor(run.doneTokens / pieceTokens);
        run.doneTokens += tokens;
        const pieces = run.request.hashes.slice(first, Math.floor(run.doneTokens / pieceTokens));
        truth.recordComputed(name, run.request.id, pieces, tokens);
        store(pieces);
        if (run.doneTokens >= run.request.promptTokens) {
            waiting.delete(run);
            truth.recordPrefilled(name, run.request.id);
            touch(run.request.hashes);
            run.onFirstToken();
            time.after(run.request.answerTokens * tokenMilliseconds, () => run.onEnd(run.cachedTokens));
        }
        startChunk();
    }

    /** Takes over what the cache holds beyond what has been computed. */
    function takeCached(run: EngineRun): void {
        let pieces = Math.floor(run.doneTokens / pieceTokens);
        while (pieces < run.request.hashes.length && cached.has(run.request.hashes[pieces]!)) {
            pieces++;
        }
        const found = Math.max(0, pieces * pieceTokens - run.doneTokens);
        run.cachedTokens += found;
        run.doneTokens += found;
        touch(run.request.hashes.slice(0, pieces));
    }

    function touch(hashes: readonly string[]): void {
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
            if (cached.size <= cachePieces) {
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
            onEvent({ number: nextEvent++, incarnation: name, kind, hashes });
        }
    }

    function getNext(): EngineRun | undefined {
        let best: EngineRun | undefined;
        for (const run of waiting) {
            if (best === undefined || run.priority < best.priority) {
                best = run;
            }
        }
        return best;
    }
}
