/*
 * Collects the facts that come with the polls of entry processes, and responds with those that an entry process lacks. Facts
 * on which only control members act go to a few entry processes, chosen by rendezvous hashing, which keep them for the next
 * leader: their number does not grow with that of the entry processes.
 */
import { create } from "@bufbuild/protobuf";
import { LRUCache } from "lru-cache";
import { assertNever } from "../errors";
import { PollRequest, PollResponse, SharedFact, SharedFactSchema } from "../protocol";
import { NodeRanking } from "../routing";
import { Clock } from "../runtime";
import { FactChanges } from "./FactChanges";
import { FactDistribution } from "./FactDistribution";
import { FactHub } from "./FactHub";
import { FactKind } from "./FactKind";
import { FactStore } from "./FactStore";

/** The number of entry processes that keep a copy of a fact besides its reporter. */
const copiesPerFact = 3;
/** The maximum number of facts whose holders are remembered: more than a store holds at a time. */
const maximumRankedFacts = 16_384;

interface FactHubOptions {
    /** The store of the control member. */
    store: FactStore;
    /** Identifies the store, also after a restart. */
    storeId: string;
    /** The kinds of facts. */
    kinds: readonly FactKind<unknown>[];
    /** Gets the ids of the active entry processes. */
    getEntryIds(): readonly string[];
    /** Chooses the entry processes that keep copies. */
    ranking: NodeRanking;
    /** The clock. */
    clock: Clock;
}

/**
 * Creates the exchange of a control member.
 * @param options - The store and the entry processes.
 */
export function createFactHub(options: FactHubOptions): FactHub {
    const { store, storeId, kinds, ranking, clock } = options;
    /** The entry processes that keep copies of each fact, among those that were active then. */
    const holders = new LRUCache<string, readonly string[]>({ max: maximumRankedFacts });
    let rankedEntryIds = "";
    return { readPoll, hasNewFacts, createResponseFields };

    function readPoll(request: PollRequest): void {
        if (request.factStoreId === "") {
            store.merge(readFormerPoll(request), getReporter(request));
        }
        store.merge(request.facts, request.entryId);
    }

    /** Reads the facts of an entry process that exchanges none; each is sent again with each poll. */
    function readFormerPoll(request: PollRequest): SharedFact[] {
        return kinds.flatMap(kind =>
            (kind.readFormerPoll?.(request, clock.getMonotonicMilliseconds()) ?? []).map(({ value, ...fact }) =>
                create(SharedFactSchema, {
                    kind: kind.name,
                    ...fact,
                    reporter: getReporter(request),
                    value: kind.encode(value),
                })
            )
        );
    }

    function hasNewFacts(request: PollRequest): boolean {
        return request.factStoreId !== ""
            && (request.factStoreId !== storeId || hasNewFactsForAll(request));
    }

    /** Facts for few entry processes wait for the next response, since nobody but a later leader acts on the copies. */
    function hasNewFactsForAll({ factPosition, entryId }: PollRequest): boolean {
        return store.hasChanges(
            Number(factPosition),
            (...[, { distribution }, origin]) => distribution === FactDistribution.AllEntries && origin !== entryId,
        );
    }

    function createResponseFields(
        request: PollRequest,
    ): Pick<PollResponse, "factStoreId" | "factPosition" | "facts"> {
        if (request.factStoreId === "") {
            return { factStoreId: "", factPosition: 0n, facts: [] };
        }
        const { facts, position } = getMissingFacts(request);
        return { factStoreId: storeId, factPosition: BigInt(position), facts };
    }

    function getMissingFacts({ factStoreId, factPosition, entryId }: PollRequest): FactChanges {
        const entryIds = options.getEntryIds();
        if (entryIds.join() !== rankedEntryIds) {
            rankedEntryIds = entryIds.join();
            holders.clear();
        }
        return store.getChanges(
            factStoreId === storeId ? Number(factPosition) : 0,
            (fact, kind, origin) => origin !== entryId && isReceiver(fact, kind, entryId, entryIds),
        );
    }

    function getHolders(factId: string, entryIds: readonly string[]): readonly string[] {
        const known = holders.get(factId) ?? ranking.getHighest(factId, entryIds, id => id, copiesPerFact);
        holders.set(factId, known);
        return known;
    }

    function isReceiver(
        { key, reporter }: Pick<SharedFact, "key" | "reporter">,
        { name, distribution }: FactKind<unknown>,
        entryId: string,
        entryIds: readonly string[],
    ): boolean {
        switch (distribution) {
            case FactDistribution.Leader:
                return false;
            case FactDistribution.FewEntries:
                return getHolders(`${name} ${reporter} ${key}`, entryIds).includes(entryId);
            case FactDistribution.AllEntries:
                return true;
            default:
                return assertNever(distribution);
        }
    }
}

/** Gets the reporter of the facts of an entry process. */
function getReporter({ entryId, entryIncarnation }: PollRequest): string {
    return `${entryId} ${entryIncarnation}`;
}
