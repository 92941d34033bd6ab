/*
 * Imports what the store of kept KV cache holds of a prompt, before the engine is asked. Whatever fails is counted and
 * costs a recomputation; the attempt may still be cancelled, and has not run.
 */
import { CounterName } from "../metrics";
import { CompletionWork, RefusalReason } from "../protocol";
import { AttemptRejection } from "./AttemptRejection";
import { AttemptRun } from "./AttemptRun";
import { getAttemptRejection } from "./getAttemptRejection";
import { SidecarOptions } from "./SidecarOptions";

/**
 * Imports the beginning of an attempt's prompt where that pays.
 * @returns What has come up against the attempt meanwhile; undefined where it may run.
 */
export async function importStoredPrefix(
    options: SidecarOptions,
    run: AttemptRun,
    work: CompletionWork,
): Promise<AttemptRejection | undefined> {
    const { kvCacheTransfer, metrics } = options;
    const { attempt, prefixHashes, request } = run;
    if (kvCacheTransfer === undefined || prefixHashes.length === 0) {
        return undefined;
    }
    const scope = { workspace: request.workspace, model: work.model, version: work.version };
    const abortPromise = createAbortPromise(attempt.signal);
    try {
        const importedBlocks = await Promise.race([
            kvCacheTransfer.importPrefix(scope, prefixHashes, attempt.signal),
            abortPromise.promise,
        ]);
        metrics.addCount(CounterName.KeptCacheImports, importedBlocks > 0 ? 1 : 0);
        metrics.addCount(CounterName.KeptCacheImportedPieces, importedBlocks);
    }
    catch {
        metrics.addCount(CounterName.KeptCacheFailures);
    }
    finally {
        abortPromise.release();
    }
    if (attempt.signal.aborted) {
        return { reason: RefusalReason.CANCELLED, message: "The request was given up." };
    }
    return getAttemptRejection(options, { ...run.getBackendState(), isLeaving: false }, request, false);
}

/** Creates what ends a wait as soon as the attempt is given up. */
function createAbortPromise(signal: AbortSignal): { promise: Promise<number>; release(): void; } {
    let end: () => void = () => {};
    const promise = new Promise<number>(resolve => end = () => resolve(0));
    signal.addEventListener("abort", end, { once: true });
    if (signal.aborted) {
        end();
    }
    return { promise, release: () => signal.removeEventListener("abort", end) };
}
