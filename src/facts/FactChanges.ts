/*
 * The facts of a store that changed after a position.
 */
import { SharedFact } from "../protocol";

/** Facts to send, and the position up to which they are all that changed. */
export interface FactChanges {
    /** The facts, the ones changed first before the others. */
    facts: SharedFact[];
    /** The position to continue from. */
    position: number;
}
