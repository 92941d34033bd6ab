/*
 * A sidecar's use of the store of kept KV cache that its settings name.
 */
import { createKeptCacheClient } from "../backends";
import { CounterName } from "../metrics";
import { Stoppable } from "../runtime";
import { Backend, createKvCachePolicy, createKvCacheTransfer, KvCacheTransfer } from "../sidecar";
import { InstanceContext } from "./InstanceContext";

const millisecondsPerSecond = 1_000;

/** The use of a store with the connections to it. */
interface KvCacheStoreConnection extends Stoppable {
    /** The use; none where the settings name no store, or the backend server is no engine. */
    kvCacheTransfer: KvCacheTransfer | undefined;
}

/** Creates a sidecar's use of its store. */
export function connectKvCacheStore(context: InstanceContext, backend: Backend): KvCacheStoreConnection {
    const { clock, metrics, settings } = context;
    const address = settings.companion?.keptCacheAddress;
    if (settings.companion === undefined || address === undefined || backend.kind !== "engine") {
        return { kvCacheTransfer: undefined, stop: () => Promise.resolve() };
    }
    const { prefillTokensPerSecond } = settings.companion;
    const store = createKeptCacheClient({ address, onFailure: countFailure });
    const policy = createKvCachePolicy({
        prefillMillisecondsPerBlock: settings.routing.pieceTokens * millisecondsPerSecond / prefillTokensPerSecond,
    });
    const { adapter, index } = backend;
    return {
        kvCacheTransfer: createKvCacheTransfer({ store, adapter, index, policy, clock, onFailure: countFailure }),
        stop: store.stop,
    };

    function countFailure(): void {
        metrics.addCount(CounterName.KvCacheFailures);
    }
}
