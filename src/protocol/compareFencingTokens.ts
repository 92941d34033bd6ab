/*
 * The order of fencing numbers.
 */
import { FencingNumber } from "./generated/basilwing/v1/common_pb";

/**
 * Compares two fencing numbers: negative where the first is lower, 0 where they are equal.
 * @param first - A place in the replicated log.
 * @param second - The other place.
 */
export function compareFencingTokens(
    first: Pick<FencingNumber, "term" | "index">,
    second: Pick<FencingNumber, "term" | "index">,
): number {
    const difference = first.term === second.term ? first.index - second.index : first.term - second.term;
    return difference < 0n ? -1 : Number(difference > 0n);
}
