/*
 * Simulates continuous batching. One task prefills prompts in chunks, ordered by priority; another generates one token
 * per step for each prefilled request.
 */
import { Clock } from "../../runtime";
import { createAutoResetEvent } from "../createAutoResetEvent";
import { EngineCore } from "./EngineCore";
import { EngineCoreOptions } from "./EngineCoreOptions";
import { EngineRun } from "./EngineRun";

const millisecondsPerSecond = 1_000;

/**
 * Starts the core of one incarnation of an engine.
 * @param options - The cache, the speeds and the callbacks.
 */
export function createEngineCore(options: EngineCoreOptions): EngineCore {
    const { cache, clock, speeds } = options;
    const waiting = new Set<EngineRun>();
    const running = new Set<EngineRun>();
    const prefillSignal = createAutoResetEvent();
    const decodeSignal = createAutoResetEvent();
    const ended = new AbortController();
    void prefill();
    void decode();
    return { addRun, notifyCancelled: () => prefillSignal.set(), getLoad, end };

    function addRun(run: EngineRun): void {
        waiting.add(run);
        prefillSignal.set();
    }

    function end(): void {
        ended.abort();
        prefillSignal.set();
        decodeSignal.set();
    }

    function getLoad(): { running: number; waiting: number; pendingPrefillTokens: number; } {
        let pendingPrefillTokens = 0;
        for (const run of waiting) {
            pendingPrefillTokens += run.promptTokens - run.processedTokens;
        }
        return { running: running.size, waiting: waiting.size, pendingPrefillTokens };
    }

    async function prefill(): Promise<void> {
        let busyUntilMilliseconds = 0;
        while (!ended.signal.aborted) {
            const run = getMostUrgent();
            if (run === undefined) {
                await prefillSignal.wait();
                continue;
            }
            const tokens = startChunk(run);
            busyUntilMilliseconds = Math.max(busyUntilMilliseconds, clock.getMonotonicMilliseconds());
            busyUntilMilliseconds += tokens / speeds.prefillTokensPerSecond * millisecondsPerSecond;
            await sleepUntil(clock, busyUntilMilliseconds, ended.signal);
            if (!ended.signal.aborted) {
                endChunk(run, tokens);
            }
        }
    }

    /** Skips the blocks that are cached by now and returns the number of tokens to compute next. */
    function startChunk(run: EngineRun): number {
        const cachedBlocks = cache.countCached(run.hashes);
        cache.touch(run.hashes.slice(0, cachedBlocks));
        run.processedTokens = Math.max(run.processedTokens, cachedBlocks * options.blockTokens);
        const remaining = Math.max(1, run.promptTokens - run.processedTokens);
        const untilChunkEnd = speeds.prefillChunkTokens - run.processedTokens % speeds.prefillChunkTokens;
        return Math.min(remaining, untilChunkEnd);
    }

    /** Stores the blocks that the chunk has completed, and adds the run to the batch when its prompt is prefilled. */
    function endChunk(run: EngineRun, tokens: number): void {
        const firstBlock = Math.floor(run.processedTokens / options.blockTokens);
        run.processedTokens = Math.min(run.promptTokens, run.processedTokens + tokens);
        run.computedTokens += tokens;
        const newHashes = run.hashes.slice(firstBlock, Math.floor(run.processedTokens / options.blockTokens));
        options.onComputed(run.requestId, newHashes, tokens);
        newHashes.forEach((hash, index) => {
            options.onStored(hash, run.hashes[firstBlock + index - 1] ?? "");
        });
        cache.touch(run.hashes);
        if (run.isPoisonous) {
            options.onPoisonPrefilled();
            return;
        }
        if (run.processedTokens < run.promptTokens) {
            return;
        }
        waiting.delete(run);
        options.onPrefilled(run.requestId);
        running.add(run);
        decodeSignal.set();
    }

    /** Gets the run to prefill next by priority and arrival; undefined if there is none or the batch is full. */
    function getMostUrgent(): EngineRun | undefined {
        let best: EngineRun | undefined;
        for (const run of waiting) {
            if (run.isCancelled) {
                waiting.delete(run);
                options.onPrefilled(run.requestId);
            }
            else if (best === undefined || isBefore(run, best)) {
                best = run;
            }
        }
        return running.size < options.maximumBatchSize ? best : undefined;
    }

    async function decode(): Promise<void> {
        let nextStepMilliseconds = 0;
        while (!ended.signal.aborted) {
            if (running.size === 0) {
                await decodeSignal.wait();
                continue;
            }
            nextStepMilliseconds = Math.max(nextStepMilliseconds, clock.getMonotonicMilliseconds())
                + getStepMilliseconds();
            emitTokens();
            await sleepUntil(clock, nextStepMilliseconds, ended.signal);
        }
    }

    function getStepMilliseconds(): number {
        return speeds.decodeStepMilliseconds + speeds.decodeStepMillisecondsPerRequest * (running.size - 1);
    }

    /** Generates the next token of every running request. */
    function emitTokens(): void {
        for (const run of running) {
            if (run.isCancelled) {
                removeRunning(run);
                continue;
            }
            if (run.generatedTokens < run.responseTokens) {
                run.generatedTokens += 1;
                run.send(run.getNextToken());
            }
            if (run.generatedTokens >= run.responseTokens) {
                removeRunning(run);
                run.send(undefined);
            }
        }
    }

    function removeRunning(run: EngineRun): void {
        running.delete(run);
        prefillSignal.set();
    }
}

/** Returns whether a run is prefilled before another. */
function isBefore(run: EngineRun, other: EngineRun): boolean {
    if (run.priority !== other.priority) {
        return run.priority < other.priority;
    }
    return run.arrivalNumber < other.arrivalNumber;
}

async function sleepUntil(clock: Clock, milliseconds: number, signal: AbortSignal): Promise<void> {
    const remaining = milliseconds - clock.getMonotonicMilliseconds();
    if (remaining > 0) {
        await clock.sleep(remaining, signal);
    }
}
