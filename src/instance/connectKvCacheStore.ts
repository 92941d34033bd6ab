/*
 * Connects a sidecar to the KV cache store in its settings.
 */
import { createKvCacheStoreClient } from "../backends";
import { CounterName } from "../metrics";
import { Stoppable } from "../runtime";
import { Backend, createKvCachePolicy, createKvCacheTransfer, KvCacheTransfer } from "../sidecar";
import { InstanceContext } from "./InstanceContext";

const millisecondsPerSecond = 1_000;

/** The transfer to and from a store, with the connections to the store. */
interface KvCacheStoreConnection extends Stoppable {
    /** The transfer; undefined where the settings have no store, or the backend server is not an engine. */
    kvCacheTransfer: KvCacheTransfer | undefined;
}

/**
 * Creates the transfer between a sidecar's backend server and the KV cache store.
 * @param context - The shared dependencies of the process's roles.
 * @param backend - The sidecar's backend server.
 */
export function connectKvCacheStore(context: InstanceContext, backend: Backend): KvCacheStoreConnection {
    const { clock, metrics, settings } = context;
    const address = settings.companion?.keptCacheAddress;
    if (settings.companion === undefined || address === undefined || backend.kind !== "engine") {
        return { kvCacheTransfer: undefined, stop: () => Promise.resolve() };
    }
    const { prefillTokensPerSecond } = settings.companion;
    const store = createKvCacheStoreClient({ address, onFailure: countFailure });
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
