/*
 * Random numbers from a seeded generator of the pure-rand library.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { RandomSource } from "./RandomSource";

/**
 * Creates a random source.
 * @param seed - The seed; sources with the same seed return the same numbers.
 */
export function createRandomSource(seed: number): RandomSource {
    const generator = xoroshiro128plus(seed);
    return { getFraction, getInteger };

    function getFraction(): number {
        return (generator.next() >>> 0) / 0x1_0000_0000;
    }

    function getInteger(limit: number): number {
        return Math.floor(getFraction() * limit);
    }
}
