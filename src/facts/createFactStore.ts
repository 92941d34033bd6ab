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

/**
 * Creates an empty store.
 * @param options - The kinds of facts, the reporter and the clock.
 */
export function createFactStore(options: FactStoreOptions): FactStore {
    const { reporter: ownReporter, clock, logger } = options;
    const kinds = new Map(options.kinds.map(kind => [kind.name, kind]));
    /** The facts of each kind by reporter and key, in the order of their changes. */
    const factsByKind = new Map([...kinds.keys()].map(name => [name, new Map<string, StoredFact>()]));
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
        getPosition: () => position,
        addListener: listener => void listeners.push(listener),
    };

    function publish<T>(kind: FactKind<T>, key: string, value: T, ageMilliseconds = 0): void {
        addOwn(kind, key, kind.encode(value), value, ageMilliseconds);
    }

    function withdraw<T>(kind: FactKind<T>, key: string): void {
        const known = factsByKind.get(kind.name)?.get(getId(ownReporter, key));
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
        facts.delete(id);
        facts.set(id, { ...fact, position });
        removeExpired(kind);
        for (const oldestId of facts.keys()) {
            if (facts.size <= kind.maximumCount) {
                break;
            }
            facts.delete(oldestId);
        }
        listeners.forEach(listener => listener(kind, fact.isOwn));
    }

    function merge(received: readonly SharedFact[], origin: string): void {
        const now = clock.getMonotonicMilliseconds();
        for (
            const { kind: kindName, key, reporter, revision, ageMilliseconds, value: bytes, isWithdrawn } of received
        ) {
            const kind = kinds.get(kindName);
            const known = factsByKind.get(kindName)?.get(getId(reporter, key));
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
        removeExpired(kind);
        const fact = factsByKind.get(kind.name)?.get(getId(ownReporter, key));
        return fact && !fact.isWithdrawn ? fact as Fact<T> : undefined;
    }

    function getAll<T>(kind: FactKind<T>): readonly Fact<T>[] {
        removeExpired(kind);
        return [...factsByKind.get(kind.name)?.values() ?? []].filter(({ isWithdrawn }) =>
            !isWithdrawn
        ) as unknown as readonly Fact<T>[];
    }

    function getChanges(
        after: number,
        isWanted: (fact: Pick<SharedFact, "key" | "reporter">, kind: FactKind<unknown>, origin: string) => boolean,
    ): FactChanges {
        kinds.forEach(removeExpired);
        const wanted = [...factsByKind.values()]
            .flatMap(facts => [...facts.values()].filter(fact => fact.position > after))
            .filter(fact => isWanted(fact, fact.kind, fact.origin))
            .sort((left, right) => left.position - right.position);
        const sent = wanted.slice(0, maximumFactsPerMessage);
        return {
            facts: sent.map(getSharedFact),
            position: sent.length < wanted.length ? sent.at(-1)!.position : position,
        };
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

    function removeExpired(kind: FactKind<unknown>): void {
        const now = clock.getMonotonicMilliseconds();
        const facts = factsByKind.get(kind.name);
        facts?.forEach(({ timeMilliseconds, isWithdrawn }, id) => {
            if (now - timeMilliseconds >= getLifetime(kind, isWithdrawn)) {
                facts.delete(id);
            }
        });
    }
}

function getId(reporter: string, key: string): string {
    return `${reporter} ${key}`;
}

function getLifetime({ lifetimeMilliseconds }: FactKind<unknown>, isWithdrawn: boolean): number {
    return isWithdrawn ? Math.min(lifetimeMilliseconds, withdrawnLifetimeMilliseconds) : lifetimeMilliseconds;
}
