/*
 * A heap whose members can be moved and removed.
 */

/** A binary heap that knows where each of its members is. */
export interface IndexedHeap<T> {
    /** Gets the least member; undefined where there is none. */
    getFirst(): T | undefined;
    /** Adds a member, or moves it to its place after its order has changed. */
    addOrMoveMember(member: T): void;
    /** Removes a member; tells whether it was there. */
    removeMember(member: T): boolean;
    /** Gets how many members there are. */
    getSize(): number;
}
