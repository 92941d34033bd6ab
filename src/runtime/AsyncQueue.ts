/*
 * A queue between two tasks: one adds items, the other reads them and waits for more.
 */

/** A queue whose items are read by asynchronous iteration. */
export interface AsyncQueue<T> extends AsyncIterable<T> {
    /** Adds an item; ignored once the queue is closed. */
    add(item: T): void;
    /** Closes the queue; the iteration ends after the remaining items. */
    close(): void;
    /** Gets the number of items that are not read yet. */
    getLength(): number;
}
