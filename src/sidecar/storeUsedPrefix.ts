/*
 * Stores the prefix of a prompt after its complete response, without delaying the end of the response.
 */
import { CounterName } from "../metrics";
import { CompletionWork } from "../protocol";
import { AttemptRun } from "./AttemptRun";
import { SidecarOptions } from "./SidecarOptions";

/**
 * Starts to store the prefix of a prompt if the policy chooses it. Failures are counted.
 * @param options - The options of the sidecar.
 * @param run - The attempt that has ended.
 * @param work - The completion.
 */
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
        .catch(() => metrics.addCount(CounterName.KvCacheFailures));
}
