/*
 * A fact as an entry process of an earlier version reports it.
 */

/** A fact in a field of its own of a poll, which is sent again with each poll. */
export interface FormerFact<T> {
    /** Unique among the facts of one kind and reporter. */
    key: string;
    /** Increases when the value changes. */
    revision: bigint;
    /** The age, in milliseconds. */
    ageMilliseconds: number;
    /** The value. */
    value: T;
}
