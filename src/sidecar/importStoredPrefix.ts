/*
 * Imports the stored prefix of a prompt from the KV cache store before the engine gets the request. A failure is
 * counted and only costs a recomputation. Until the import ends, the attempt has not run and can be cancelled.
 */
import { CounterName } from "../metrics";
import { CompletionWork, RefusalReason } from "../protocol";
import { AttemptRejection } from "./AttemptRejection";
import { AttemptRun } from "./AttemptRun";
import { getAttemptRejection } from "./getAttemptRejection";
import { SidecarOptions } from "./SidecarOptions";

/**
 * Imports the prefix of an attempt's prompt if that is faster than computing it.
 * @param options - The options of the sidecar.
 * @param run - The attempt.
 * @param work - The completion.
 * @returns The reason to reject the attempt that arose during the import; undefined if it may run.
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
        metrics.addCount(CounterName.KvCacheImports, importedBlocks > 0 ? 1 : 0);
        metrics.addCount(CounterName.KvCacheImportedBlocks, importedBlocks);
    }
    catch {
        metrics.addCount(CounterName.KvCacheFailures);
    }
    finally {
        abortPromise.release();
    }
    if (attempt.signal.aborted) {
        return { reason: RefusalReason.CANCELLED, message: "The request was given up." };
    }
    return getAttemptRejection(options, { ...run.getBackendState(), isLeaving: false }, request, false);
}

/** Creates a promise that resolves to 0 as soon as a signal is aborted. */
function createAbortPromise(signal: AbortSignal): { promise: Promise<number>; release(): void; } {
    let end: () => void = () => {};
    const promise = new Promise<number>(resolve => end = () => resolve(0));
    signal.addEventListener("abort", end, { once: true });
    if (signal.aborted) {
        end();
    }
    return { promise, release: () => signal.removeEventListener("abort", end) };
}
