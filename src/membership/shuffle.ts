/*
 * Puts items into a random order.
 */
import { RandomSource } from "../runtime";

/**
 * Shuffles items in place.
 * @param items - The items.
 * @param random - The source of randomness.
 * @returns The same array.
 */
export function shuffle<T>(items: T[], random: RandomSource): T[] {
    for (let index = items.length - 1; index > 0; index--) {
        const other = random.getInteger(index + 1);
        [items[index], items[other]] = [items[other]!, items[index]!];
    }
    return items;
}
