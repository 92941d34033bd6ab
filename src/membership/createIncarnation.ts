/*
 * Creates the identifier of one run of a process.
 */
import { Clock, RandomSource } from "../runtime";

const timeDigits = 9;
const randomDigits = 8;
const radix = 36;

/**
 * Creates an incarnation from the start time and a random part, so that later starts sort after earlier ones.
 * @param clock - The process's clock.
 * @param random - The source of randomness, seeded differently in each process.
 */
export function createIncarnation(clock: Clock, random: RandomSource): string {
    const time = Math.floor(clock.getWallMilliseconds()).toString(radix).padStart(timeDigits, "0");
    const digits = Array.from({ length: randomDigits }, () => random.getInteger(radix).toString(radix));
    return `${time}-${digits.join("")}`;
}
