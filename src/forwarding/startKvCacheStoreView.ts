/*
 * Follows the contents of the KV cache stores by polling them for changes. A store keeps the parts that were used last:
 * if every request saved its own prompt there, the parts that requests share would be evicted within seconds. With this
 * view, a request saves parts only where the store lacks a shared one.
 */
import { LRUCache } from "lru-cache";
import { TaskName } from "../metrics";
import { runWithTimeout } from "../runtime";
import { startTask } from "../supervision";
import { KvCacheStoreView } from "./KvCacheStoreView";
import { KvCacheStoreViewOptions } from "./KvCacheStoreViewOptions";

/** How long a store waits for changes before it responds to a poll. */
const pollWaitMilliseconds = 200;
/** How long the response to a poll may take beyond that wait. */
const responseMilliseconds = 800;
/** The pause between two polls: a store has few changes, and each poll costs both ends. */
const pollPauseMilliseconds = 100;
/** The pause after a failed poll, and between two checks for stores that were added or removed. */
const failurePauseMilliseconds = 500;
/**
 * The maximum number of polls pending at a store, from all entry processes: slightly fewer than the stores' usual
 * limit.
 */
const maximumConcurrentPolls = 8;
/** The maximum number of parts that are tracked for one store: several times what a store holds. */
const maximumPartsPerStore = 65_536;

/** What is known of one store. */
interface StoreState {
    /** The parts that the store holds, by salt and part id. */
    parts: LRUCache<string, true>;
    isReachable: boolean;
}

/**
 * Starts to follow the stores that the routing document in force names.
 * @param options - The options of the view.
 */
export function startKvCacheStoreView(options: KvCacheStoreViewOptions): KvCacheStoreView {
    const { state, source, clock, logger, signal } = options;
    const stores = new Map<string, StoreState>();
    startTask(TaskName.KvCacheStoreList, followDocument, options);
    return {
        isReachable: address => stores.get(address)?.isReachable ?? false,
        hasPart: (address, salt, partId) => stores.get(address)?.parts.has(getPartKey(salt, partId)) ?? false,
    };

    /**
     * Starts a polling task for each store that the routing document names, and drops stores that it no longer names.
     */
    async function followDocument(): Promise<void> {
        while (!signal.aborted) {
            const addresses = getAddresses();
            [...stores.keys()].filter(address => !addresses.includes(address)).forEach(address =>
                stores.delete(address)
            );
            for (const address of addresses.filter(candidate => !stores.has(candidate))) {
                const store: StoreState = { parts: new LRUCache({ max: maximumPartsPerStore }), isReachable: false };
                stores.set(address, store);
                startTask(TaskName.KvCacheStore, () => followStore(address, store), options);
            }
            await clock.sleep(failurePauseMilliseconds, signal);
        }
    }

    function getAddresses(): readonly string[] {
        return state.getRouteTable()?.getKvCacheStores().map(cache => cache.address) ?? [];
    }

    async function followStore(address: string, store: StoreState): Promise<void> {
        let position = 0;
        let incarnation: string | undefined;
        while (!signal.aborted && stores.get(address) === store) {
            const fromPosition = position;
            const batch = await runWithTimeout(
                clock,
                pollWaitMilliseconds + responseMilliseconds,
                signal,
                limit => source.getChanges(address, fromPosition, pollWaitMilliseconds, limit),
            );
            recordReachability(address, store, batch !== undefined);
            if (!batch) {
                await clock.sleep(failurePauseMilliseconds, signal);
                continue;
            }
            if (batch.incarnation !== incarnation || batch.hasGap) {
                store.parts.clear();
            }
            if (incarnation !== undefined && batch.incarnation !== incarnation) {
                incarnation = batch.incarnation;
                position = 0;
                continue;
            }
            incarnation = batch.incarnation;
            position = batch.nextPosition;
            for (const { isAdded, salt, partId } of batch.changes) {
                if (isAdded) {
                    store.parts.set(getPartKey(salt, partId), true);
                }
                else {
                    store.parts.delete(getPartKey(salt, partId));
                }
            }
            await clock.sleep(getPauseMilliseconds(), signal);
        }
    }

    /** Gets the pause that keeps the polls of all entry processes together within a store's limit. */
    function getPauseMilliseconds(): number {
        return Math.max(
            pollPauseMilliseconds,
            pollWaitMilliseconds * (state.getEntryCount() / maximumConcurrentPolls - 1),
        );
    }

    function recordReachability(address: string, store: StoreState, isReachable: boolean): void {
        if (store.isReachable !== isReachable) {
            store.isReachable = isReachable;
            logger.info({ address }, isReachable ? "follows a kept cache" : "lost a kept cache");
        }
    }
}

function getPartKey(salt: string, partId: string): string {
    return `${salt} ${partId}`;
}
