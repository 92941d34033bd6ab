/*
 * A heap whose members can be moved and removed.
 */

/** A binary heap that keeps the position of each of its members. */
export interface IndexedHeap<T> {
    /** Gets the first member; undefined if the heap is empty. */
    getFirst(): T | undefined;
    /** Adds a member, or moves it to its new position after its order has changed. */
    addOrMoveMember(member: T): void;
    /** Removes a member and returns whether it was in the heap. */
    removeMember(member: T): boolean;
    /** Gets the number of members. */
    getSize(): number;
}
