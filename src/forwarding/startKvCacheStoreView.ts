/*
 * Follows what the stores of kept KV cache hold. A store keeps the parts used last: if every request saved its own
 * prompt there, the parts that requests share would be pushed out within seconds. With this view a request saves only
 * where a shared part is missing.
 */
import { LRUCache } from "lru-cache";
import { KvCacheStoreView } from "./KvCacheStoreView";
import { KvCacheStoreViewOptions } from "./KvCacheStoreViewOptions";

/** How long a store waits for changes, in milliseconds. */
const pollWaitMilliseconds = 200;
/** How long an answer may take beyond the wait, in milliseconds. */
const responseMilliseconds = 800;
/** The pause between two questions, in milliseconds: a store has little news, and each question costs both ends. */
const pollPauseMilliseconds = 100;
/** The pause after a question without an answer, in milliseconds. */
const failurePauseMilliseconds = 500;
/** How many questions a store holds at once, all entries' together: somewhat fewer than the stores' usual bound. */
const maximumConcurrentPolls = 8;
/** The parts that are remembered of one store: several times what one holds. */
const maximumPartsPerStore = 65_536;

interface StoreState {
    parts: LRUCache<string, true>;
    isReachable: boolean;
}

/**
 * Starts to follow the stores that the document in force names.
 * @param options - What the view is made of.
 */
export function startKvCacheStoreView(options: KvCacheStoreViewOptions): KvCacheStoreView {
    const { state, source, clock, logger, signal } = options;
    const stores = new Map<string, StoreState>();
    void followDocument();
    return {
        isReachable: address => stores.get(address)?.isReachable ?? false,
        hasPart: (address, salt, partId) => stores.get(address)?.parts.has(getPartKey(salt, partId)) ?? false,
    };

    /** Starts one task for each store, and forgets stores that are no longer named. */
    async function followDocument(): Promise<void> {
        while (!signal.aborted) {
            const addresses = getAddresses();
            [...stores.keys()].filter(address => !addresses.includes(address)).forEach(address =>
                stores.delete(address)
            );
            for (const address of addresses.filter(candidate => !stores.has(candidate))) {
                const store: StoreState = { parts: new LRUCache({ max: maximumPartsPerStore }), isReachable: false };
                stores.set(address, store);
                void followStore(address, store);
            }
            await clock.sleep(failurePauseMilliseconds, signal);
        }
    }

    function getAddresses(): readonly string[] {
        return state.getTable()?.getKvCacheStores().map(cache => cache.address) ?? [];
    }

    async function followStore(address: string, store: StoreState): Promise<void> {
        let position = 0;
        let incarnation: string | undefined;
        while (!signal.aborted && stores.get(address) === store) {
            const limit = AbortSignal.any([signal, AbortSignal.timeout(pollWaitMilliseconds + responseMilliseconds)]);
            const batch = await source.getChanges(address, position, pollWaitMilliseconds, limit);
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

    /** Gets the pause that keeps the questions of all entries together within a store's bound. */
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
