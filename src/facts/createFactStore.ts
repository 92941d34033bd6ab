/*
 * Holds the facts of all kinds in the order of their changes. A fact is replaced only by one of its reporter with a higher
 * revision, so that copies may arrive in any order and several times. Withdrawn facts are kept for a while, so that other
 * processes learn that they hold no longer.
 */
import { create } from "@bufbuild/protobuf";
import { getErrorMessage } from "../errors";
import { Logger } from "../logging";
import { SharedFact, SharedFactSchema } from "../protocol";
import { Clock } from "../runtime";
import { Fact } from "./Fact";
import { FactChanges } from "./FactChanges";
import { FactKind } from "./FactKind";
import { FactStore } from "./FactStore";

/** The maximum number of facts in one message. */
const maximumFactsPerMessage = 512;
/** How long a withdrawn fact is kept where its kind has no shorter lifetime, in milliseconds. */
const withdrawnLifetimeMilliseconds = 60_000;
/** The list of changes is made anew once it is this many times as long as the facts, and longer by the number below. */
const maximumOutdatedShare = 2;
const minimumChanges = 64;

type IsWanted = Parameters<FactStore["getChanges"]>[1];

interface FactStoreOptions {
    /** The kinds of facts; others are ignored. */
    kinds: readonly FactKind<unknown>[];
    /** Identifies this process and its start as the reporter of its facts. */
    reporter: string;
    /** Measures the age of facts. */
    clock: Clock;
    /** Logs facts that can't be decoded. */
    logger: Logger;
}

interface StoredFact {
    kind: FactKind<unknown>;
    key: string;
    reporter: string;
    isOwn: boolean;
    revision: bigint;
    timeMilliseconds: number;
    bytes: Uint8Array;
    /** Undefined where the fact is withdrawn. */
    value: unknown;
    isWithdrawn: boolean;
    /** The store from which the fact came; empty for a fact of this process. */
    origin: string;
    /** The position of the last change. */
    position: number;
}

/** The facts of a kind. */
interface KindFacts {
    kind: FactKind<unknown>;
    /** The facts by reporter and key, in the order of their changes. */
    byId: Map<string, StoredFact>;
    /** The same facts in the same order, among others that have been replaced or removed since. */
    changes: StoredFact[];
    /** No fact expires before this, on the monotonic clock, in milliseconds. */
    nextExpiryMilliseconds: number;
}

/**
 * Creates an empty store.
 * @param options - The kinds of facts, the reporter and the clock.
 */
export function createFactStore(options: FactStoreOptions): FactStore {
    const { reporter: ownReporter, clock, logger } = options;
    const kinds = new Map(options.kinds.map(kind => [kind.name, kind]));
    const factsByKind = new Map(options.kinds.map(kind => [kind.name, createKindFacts(kind)]));
    const listeners: ((kind: FactKind<unknown>, isOwn: boolean) => void)[] = [];
    let position = 0;
    let ownRevision = 0n;
    return {
        publish,
        withdraw,
        getOwn,
        getAll,
        merge,
        getChanges,
        hasChanges,
        getPosition: () => position,
        addListener: listener => void listeners.push(listener),
    };

    function publish<T>(kind: FactKind<T>, key: string, value: T, ageMilliseconds = 0): void {
        addOwn(kind, key, kind.encode(value), value, ageMilliseconds);
    }

    function withdraw<T>(kind: FactKind<T>, key: string): void {
        const known = factsByKind.get(kind.name)?.byId.get(getId(ownReporter, key));
        if (known && !known.isWithdrawn) {
            addOwn(known.kind, key, new Uint8Array(), undefined, 0);
        }
    }

    function addOwn(
        kind: FactKind<unknown>,
        key: string,
        bytes: Uint8Array,
        value: unknown,
        ageMilliseconds: number,
    ): void {
        ownRevision += 1n;
        add({
            kind,
            key,
            reporter: ownReporter,
            isOwn: true,
            revision: ownRevision,
            timeMilliseconds: clock.getMonotonicMilliseconds() - ageMilliseconds,
            bytes,
            value,
            isWithdrawn: value === undefined,
            origin: "",
            position: 0,
        });
    }

    function add(fact: StoredFact): void {
        const { kind } = fact;
        const facts = factsByKind.get(kind.name)!;
        const id = getId(fact.reporter, fact.key);
        position += 1;
        const stored = { ...fact, position };
        facts.byId.delete(id);
        facts.byId.set(id, stored);
        facts.changes.push(stored);
        facts.nextExpiryMilliseconds = Math.min(facts.nextExpiryMilliseconds, getExpiryMilliseconds(stored));
        removeExpired(facts);
        for (const oldestId of facts.byId.keys()) {
            if (facts.byId.size <= kind.maximumCount) {
                break;
            }
            facts.byId.delete(oldestId);
        }
        compactChanges(facts);
        listeners.forEach(listener => listener(kind, fact.isOwn));
    }

    function merge(received: readonly SharedFact[], origin: string): void {
        const now = clock.getMonotonicMilliseconds();
        for (
            const { kind: kindName, key, reporter, revision, ageMilliseconds, value: bytes, isWithdrawn } of received
        ) {
            const kind = kinds.get(kindName);
            const known = factsByKind.get(kindName)?.byId.get(getId(reporter, key));
            const isExpired = kind === undefined || ageMilliseconds >= getLifetime(kind, isWithdrawn);
            if (reporter === ownReporter || isExpired || known && known.revision >= revision) {
                continue;
            }
            const value = isWithdrawn ? undefined : decode(kind, bytes);
            if (value !== undefined || isWithdrawn) {
                add({
                    kind,
                    key,
                    reporter,
                    isOwn: false,
                    revision,
                    timeMilliseconds: now - ageMilliseconds,
                    bytes,
                    value,
                    isWithdrawn,
                    origin,
                    position: 0,
                });
            }
        }
    }

    function decode(kind: FactKind<unknown>, bytes: Uint8Array): unknown {
        try {
            return kind.decode(bytes);
        }
        catch (thrown) {
            logger.warn({ kind: kind.name, problem: getErrorMessage(thrown) }, "can't decode a fact");
            return undefined;
        }
    }

    function getOwn<T>(kind: FactKind<T>, key: string): Fact<T> | undefined {
        const facts = factsByKind.get(kind.name);
        if (!facts) {
            return undefined;
        }
        removeExpired(facts);
        const fact = facts.byId.get(getId(ownReporter, key));
        return fact && !fact.isWithdrawn ? fact as Fact<T> : undefined;
    }

    function getAll<T>(kind: FactKind<T>): readonly Fact<T>[] {
        const facts = factsByKind.get(kind.name);
        if (!facts) {
            return [];
        }
        removeExpired(facts);
        return [...facts.byId.values()].filter(({ isWithdrawn }) => !isWithdrawn) as unknown as readonly Fact<T>[];
    }

    function getChanges(after: number, isWanted: IsWanted): FactChanges {
        const wanted = [...factsByKind.values()]
            .flatMap(facts => [...getChangesOfKind(facts, after)])
            .filter(fact => isWanted(fact, fact.kind, fact.origin))
            .sort((left, right) => left.position - right.position);
        const sent = wanted.slice(0, maximumFactsPerMessage);
        return {
            facts: sent.map(getSharedFact),
            position: sent.length < wanted.length ? sent.at(-1)!.position : position,
        };
    }

    function hasChanges(after: number, isWanted: IsWanted): boolean {
        for (const facts of factsByKind.values()) {
            for (const fact of getChangesOfKind(facts, after)) {
                if (isWanted(fact, fact.kind, fact.origin)) {
                    return true;
                }
            }
        }
        return false;
    }

    function getSharedFact(
        { kind, key, reporter, revision, timeMilliseconds, bytes, isWithdrawn }: StoredFact,
    ): SharedFact {
        const ageMilliseconds = Math.max(0, Math.round(clock.getMonotonicMilliseconds() - timeMilliseconds));
        return create(SharedFactSchema, {
            kind: kind.name,
            key,
            reporter,
            revision,
            ageMilliseconds,
            value: bytes,
            isWithdrawn,
        });
    }

    /** Removes expired facts; as each poll asks for changes, all facts are looked at only once one has expired. */
    function removeExpired(facts: KindFacts): void {
        const now = clock.getMonotonicMilliseconds();
        if (now < facts.nextExpiryMilliseconds) {
            return;
        }
        facts.nextExpiryMilliseconds = Infinity;
        facts.byId.forEach((fact, id) => {
            const expiryMilliseconds = getExpiryMilliseconds(fact);
            if (now >= expiryMilliseconds) {
                facts.byId.delete(id);
            }
            else {
                facts.nextExpiryMilliseconds = Math.min(facts.nextExpiryMilliseconds, expiryMilliseconds);
            }
        });
        compactChanges(facts);
    }

    /** Makes the list of changes anew once most of it is outdated, as it keeps the values of removed facts in memory. */
    function compactChanges(facts: KindFacts): void {
        if (facts.changes.length > maximumOutdatedShare * facts.byId.size + minimumChanges) {
            facts.changes = [...facts.byId.values()];
        }
    }

    /** Gets the facts of a kind that changed after a position, in the order of their changes. */
    function* getChangesOfKind(facts: KindFacts, after: number): Generator<StoredFact> {
        removeExpired(facts);
        const { byId, changes } = facts;
        let first = changes.length;
        while (first > 0 && changes[first - 1]!.position > after) {
            first -= 1;
        }
        for (let index = first; index < changes.length; index++) {
            const fact = changes[index]!;
            if (byId.get(getId(fact.reporter, fact.key)) === fact) {
                yield fact;
            }
        }
    }
}

function createKindFacts(kind: FactKind<unknown>): KindFacts {
    return { kind, byId: new Map(), changes: [], nextExpiryMilliseconds: Infinity };
}

function getExpiryMilliseconds({ kind, isWithdrawn, timeMilliseconds }: StoredFact): number {
    return timeMilliseconds + getLifetime(kind, isWithdrawn);
}

function getId(reporter: string, key: string): string {
    return `${reporter} ${key}`;
}

function getLifetime({ lifetimeMilliseconds }: FactKind<unknown>, isWithdrawn: boolean): number {
    return isWithdrawn ? Math.min(lifetimeMilliseconds, withdrawnLifetimeMilliseconds) : lifetimeMilliseconds;
}
