/*
 * Follows what the stores of kept KV cache hold. A store keeps the parts used last: if every request saved its own
 * prompt there, the parts that requests share would be pushed out within seconds. With this view a request saves only
 * where a shared part is missing.
 */
import { LRUCache } from "lru-cache";
import { KeptCacheOptions } from "./KeptCacheOptions";
import { KeptCacheView } from "./KeptCacheView";

/** How long a store waits for changes, in milliseconds. */
const waitMilliseconds = 200;
/** How long an answer may take beyond the wait, in milliseconds. */
const answerMilliseconds = 800;
/** The pause between two questions, in milliseconds: a store has little news, and each question costs both ends. */
const pauseMilliseconds = 100;
/** The pause after a question without an answer, in milliseconds. */
const failurePauseMilliseconds = 500;
/** How many questions a store holds at once, all entries' together: somewhat fewer than the stores' usual bound. */
const sharedQuestions = 8;
/** The parts that are remembered of one store: several times what one holds. */
const maximumParts = 65_536;

interface KnownStore {
    parts: LRUCache<string, true>;
    isReachable: boolean;
}

/**
 * Starts to follow the stores that the document in force names.
 * @param options - What the view is made of.
 */
export function startKeptCacheView(options: KeptCacheOptions): KeptCacheView {
    const { state, source, clock, logger, signal } = options;
    const stores = new Map<string, KnownStore>();
    void watchDocument();
    return {
        isReachable: address => stores.get(address)?.isReachable ?? false,
        hasPart: (address, salt, partId) => stores.get(address)?.parts.has(getName(salt, partId)) ?? false,
    };

    /** Starts one task for each store, and forgets stores that are no longer named. */
    async function watchDocument(): Promise<void> {
        while (!signal.aborted) {
            const addresses = getAddresses();
            [...stores.keys()].filter(address => !addresses.includes(address)).forEach(address =>
                stores.delete(address)
            );
            for (const address of addresses.filter(candidate => !stores.has(candidate))) {
                const store: KnownStore = { parts: new LRUCache({ max: maximumParts }), isReachable: false };
                stores.set(address, store);
                void follow(address, store);
            }
            await clock.sleep(failurePauseMilliseconds, signal);
        }
    }

    function getAddresses(): readonly string[] {
        return state.getTable()?.getKvCacheStores().map(cache => cache.address) ?? [];
    }

    async function follow(address: string, store: KnownStore): Promise<void> {
        let position = 0;
        let incarnation: string | undefined;
        while (!signal.aborted && stores.get(address) === store) {
            const limit = AbortSignal.any([signal, AbortSignal.timeout(waitMilliseconds + answerMilliseconds)]);
            const answer = await source.getChanges(address, position, waitMilliseconds, limit);
            noteReachable(address, store, answer !== undefined);
            if (!answer) {
                await clock.sleep(failurePauseMilliseconds, signal);
                continue;
            }
            if (answer.incarnation !== incarnation || answer.hasGap) {
                store.parts.clear();
            }
            if (incarnation !== undefined && answer.incarnation !== incarnation) {
                incarnation = answer.incarnation;
                position = 0;
                continue;
            }
            incarnation = answer.incarnation;
            position = answer.nextPosition;
            for (const { isAdded, salt, partId } of answer.changes) {
                if (isAdded) {
                    store.parts.set(getName(salt, partId), true);
                }
                else {
                    store.parts.delete(getName(salt, partId));
                }
            }
            await clock.sleep(getPauseMilliseconds(), signal);
        }
    }

    /** Gets the pause that keeps the questions of all entries together within a store's bound. */
    function getPauseMilliseconds(): number {
        return Math.max(pauseMilliseconds, waitMilliseconds * (state.getEntryCount() / sharedQuestions - 1));
    }

    function noteReachable(address: string, store: KnownStore, isReachable: boolean): void {
        if (store.isReachable !== isReachable) {
            store.isReachable = isReachable;
            logger.info({ address }, isReachable ? "follows a kept cache" : "lost a kept cache");
        }
    }
}

function getName(salt: string, partId: string): string {
    return `${salt} ${partId}`;
}
