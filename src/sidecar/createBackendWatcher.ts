/*
 * Observes a backend server: one task polls its state, and for an engine a second one streams its cache events. The
 * prefix index is reset as soon as another incarnation or weights version is observed.
 */
import { CounterName } from "../metrics";
import { BackendState } from "./BackendState";
import { BackendWatcher } from "./BackendWatcher";
import { getBackendObservation } from "./getBackendObservation";
import { SidecarOptions } from "./SidecarOptions";

const pollIntervalMilliseconds = 200;
const reconnectDelayMilliseconds = 200;
const failuresUntilUnready = 3;

/** Creates the watcher of a sidecar's backend server and starts its tasks. */
export function createBackendWatcher(options: SidecarOptions): BackendWatcher {
    const { backend, clock, logger, metrics } = options;
    const listeners = new Set<(state: BackendState) => void>();
    const stopping = new AbortController();
    let consecutiveFailures = 0;
    let state: BackendState = {
        isReady: false,
        isLeaving: false,
        incarnation: "",
        version: "",
        adapters: [],
        role: "",
    };
    const tasks = [pollState(), followCacheEvents()];
    return { getState: () => state, addListener, setLeaving, stop };

    function addListener(listener: (state: BackendState) => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    function setLeaving(): void {
        setState({ ...state, isLeaving: true });
    }

    /** Polls the backend server's state until the watcher is stopped. */
    async function pollState(): Promise<void> {
        while (!stopping.signal.aborted) {
            const observation = await getBackendObservation(backend, stopping.signal);
            if (stopping.signal.aborted) {
                return;
            }
            if (observation === undefined) {
                consecutiveFailures += 1;
                setState({ ...state, isReady: state.isReady && consecutiveFailures < failuresUntilUnready });
            }
            else {
                consecutiveFailures = 0;
                setState({ ...state, ...observation });
            }
            await clock.sleep(pollIntervalMilliseconds, stopping.signal);
        }
    }

    /** Streams an engine's cache events into the index, and reconnects whenever the stream ends. */
    async function followCacheEvents(): Promise<void> {
        let nextEventNumber = 1;
        let incarnation = "";
        while (backend.kind === "engine" && !stopping.signal.aborted) {
            for await (const event of backend.adapter.watchCacheEvents(nextEventNumber, stopping.signal)) {
                const isGap = event.incarnation === incarnation && event.number > nextEventNumber;
                metrics.addCount(CounterName.CacheEvents);
                metrics.addCount(CounterName.CacheEventGaps, isGap ? 1 : 0);
                incarnation = event.incarnation;
                nextEventNumber = event.number + 1;
                backend.index.addEvent(event);
            }
            await clock.sleep(reconnectDelayMilliseconds, stopping.signal);
        }
    }

    /** Replaces the state, and notifies the listeners if it has changed. */
    function setState(next: BackendState): void {
        const hasChanged = JSON.stringify(next) !== JSON.stringify(state);
        const hasRestarted = next.incarnation !== state.incarnation;
        const haveWeightsChanged = next.version !== state.version;
        const hadIncarnation = state.incarnation !== "";
        state = next;
        if (!hasChanged) {
            return;
        }
        if (backend.kind === "engine" && (hasRestarted || haveWeightsChanged)) {
            backend.index.reset(next.incarnation);
        }
        if (hasRestarted && hadIncarnation) {
            metrics.addCount(CounterName.BackendCrashes);
            logger.warn({ backendIncarnation: next.incarnation }, "backend server has restarted");
        }
        listeners.forEach(listener => listener(next));
    }

    async function stop(): Promise<void> {
        stopping.abort();
        await Promise.all(tasks);
    }
}
