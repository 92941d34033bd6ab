/*
 * Keeps the beginning of a prompt after its whole answer, beside the answer's end and not before it.
 */
import { CounterName } from "../metrics";
import { CompletionWork } from "../protocol";
import { AttemptRun } from "./AttemptRun";
import { SidecarOptions } from "./SidecarOptions";

/** Starts to keep the beginning of a prompt where that is worth it; what fails is counted. */
export function storeUsedPrefix(options: SidecarOptions, run: AttemptRun, work: CompletionWork): void {
    const { kvCacheTransfer, metrics } = options;
    const { prefixHashes, request } = run;
    if (kvCacheTransfer === undefined || prefixHashes.length === 0) {
        return;
    }
    const scope = { workspace: request.workspace, model: work.model, version: work.version };
    const { signal } = new AbortController();
    void Promise.resolve()
        .then(() => kvCacheTransfer.storePrefix(scope, prefixHashes, signal))
        .catch(() => metrics.addCount(CounterName.KeptCacheFailures));
}
