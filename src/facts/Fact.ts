/*
 * A fact that a process knows.
 */

/** Something that an entry process has observed. */
export interface Fact<T> {
    /** Unique among the facts of one kind and reporter. */
    key: string;
    /** The entry process that observed it, and its start. */
    reporter: string;
    /** Whether this process has published it. */
    isOwn: boolean;
    /** When it was observed, on the monotonic clock, in milliseconds. */
    timeMilliseconds: number;
    /** The value. */
    value: T;
}
