/*
 * Compares fencing tokens for equality.
 */
import { FencingNumber } from "../../protocol";

/** Returns whether two fencing tokens name the same place in the log. An absent token is equal to no other, not even to
 * another absent one.
 * @param first - A fencing token; undefined where absent.
 * @param second - The token to compare it with; undefined where absent. */
export function isSameFencingToken(first: FencingNumber | undefined, second: FencingNumber | undefined): boolean {
    if (first === undefined || second === undefined) {
        return false;
    }
    return first.term === second.term && first.index === second.index;
}
