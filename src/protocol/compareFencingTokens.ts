/*
 * The order of fencing tokens, which are positions in the replicated log.
 */
import { FencingNumber } from "./generated/basilwing/v1/common_pb";

/**
 * Compares two fencing tokens by term, then by index.
 * @param first - A fencing token.
 * @param second - The fencing token to compare with.
 * @returns A negative number if the first is lower, 0 if they are equal, otherwise a positive number.
 */
export function compareFencingTokens(
    first: Pick<FencingNumber, "term" | "index">,
    second: Pick<FencingNumber, "term" | "index">,
): number {
    const difference = first.term === second.term ? first.index - second.index : first.term - second.term;
    return difference < 0n ? -1 : Number(difference > 0n);
}
