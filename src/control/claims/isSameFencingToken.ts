/*
 * Compares fencing numbers for equality.
 */
import { FencingNumber } from "../../protocol";

/** Tells whether two fencing numbers are the same place in the log; an absent one equals none. */
export function isSameFencingToken(first: FencingNumber | undefined, second: FencingNumber | undefined): boolean {
    if (first === undefined || second === undefined) {
        return false;
    }
    return first.term === second.term && first.index === second.index;
}
