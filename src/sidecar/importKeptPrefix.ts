/*
 * Imports what the store of kept KV cache holds of a prompt, before the engine is asked. Whatever fails is counted and
 * costs a recomputation; the attempt may still be cancelled, and has not run.
 */
import { CounterName } from "../metrics";
import { CompletionWork, RefusalReason } from "../protocol";
import { AttemptProblem } from "./AttemptProblem";
import { AttemptRun } from "./AttemptRun";
import { getAttemptProblem } from "./getAttemptProblem";
import { SidecarOptions } from "./SidecarOptions";

/**
 * Imports the beginning of an attempt's prompt where that pays.
 * @returns What has come up against the attempt meanwhile; undefined where it may run.
 */
export async function importKeptPrefix(
    options: SidecarOptions,
    run: AttemptRun,
    work: CompletionWork,
): Promise<AttemptProblem | undefined> {
    const { keptCache, metrics } = options;
    const { attempt, hashes, request } = run;
    if (keptCache === undefined || hashes.length === 0) {
        return undefined;
    }
    const scope = { workspace: request.workspace, model: work.model, version: work.version };
    const cancelled = createCancellation(attempt.signal);
    try {
        const pieces = await Promise.race([keptCache.importPrefix(scope, hashes, attempt.signal), cancelled.promise]);
        metrics.addCount(CounterName.KeptCacheImports, pieces > 0 ? 1 : 0);
        metrics.addCount(CounterName.KeptCacheImportedPieces, pieces);
    }
    catch {
        metrics.addCount(CounterName.KeptCacheFailures);
    }
    finally {
        cancelled.release();
    }
    if (attempt.signal.aborted) {
        return { reason: RefusalReason.CANCELLED, message: "The request was given up." };
    }
    return getAttemptProblem(options, { ...run.getBackendState(), isLeaving: false }, request, false);
}

/** Creates what ends a wait as soon as the attempt is given up. */
function createCancellation(signal: AbortSignal): { promise: Promise<number>; release(): void; } {
    let end: () => void = () => {};
    const promise = new Promise<number>(resolve => end = () => resolve(0));
    signal.addEventListener("abort", end, { once: true });
    if (signal.aborted) {
        end();
    }
    return { promise, release: () => signal.removeEventListener("abort", end) };
}
