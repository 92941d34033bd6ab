/*
 * The facts that a process knows.
 */
import { SharedFact } from "../protocol";
import { Fact } from "./Fact";
import { FactChanges } from "./FactChanges";
import { FactKind } from "./FactKind";

/** Holds facts until they expire, and tells which ones changed. */
export interface FactStore {
    /**
     * Adds a fact of this process, or replaces the one with the same key.
     * @param kind - The kind.
     * @param key - The key, unique among the facts of the kind that this process publishes.
     * @param value - The value.
     * @param ageMilliseconds - How long ago it was observed, in milliseconds; 0 by default.
     */
    publish<T>(kind: FactKind<T>, key: string, value: T, ageMilliseconds?: number): void;
    /** Withdraws a fact of this process, if it holds one with the key. */
    withdraw<T>(kind: FactKind<T>, key: string): void;
    /** Gets a fact that this process has published and that still holds; undefined where there is none. */
    getOwn<T>(kind: FactKind<T>, key: string): Fact<T> | undefined;
    /** Gets the facts of a kind that hold now, from all processes. */
    getAll<T>(kind: FactKind<T>): readonly Fact<T>[];
    /**
     * Adds facts of other processes; older ones than those that are known change nothing.
     * @param facts - The facts.
     * @param origin - Identifies the store from which they come.
     */
    merge(facts: readonly SharedFact[], origin: string): void;
    /**
     * Gets the facts that changed after a position.
     * @param position - A position of this store; 0 for all facts.
     * @param isWanted - Returns whether the receiver needs a fact of a kind, which came from a store.
     */
    getChanges(
        position: number,
        isWanted: (fact: Pick<SharedFact, "key" | "reporter">, kind: FactKind<unknown>, origin: string) => boolean,
    ): FactChanges;
    /**
     * Returns whether `getChanges` would get any facts.
     * @param position - A position of this store; 0 for all facts.
     * @param isWanted - Returns whether the receiver needs a fact of a kind, which came from a store.
     */
    hasChanges(
        position: number,
        isWanted: (fact: Pick<SharedFact, "key" | "reporter">, kind: FactKind<unknown>, origin: string) => boolean,
    ): boolean;
    /** Gets the position of the last change. */
    getPosition(): number;
    /**
     * Adds a listener of changes.
     * @param listener - Called with the kind of the fact that changed, and whether this process has published it.
     */
    addListener(listener: (kind: FactKind<unknown>, isOwn: boolean) => void): void;
}
