import { RandomSource } from "../../src/runtime";

/** How long the machine's other work lasts: the figure changes many times a second. */
const correlationMilliseconds = 150;
const standardDeviation = 0.3;

/** Creates the work factor of a server that shares its machine: a lasting factor with noise, one step each millisecond. */
export function createNoise(lastingFactor: number, random: RandomSource): () => number {
    let deviation = 0;
    return () => {
        // The sum of twelve uniform numbers is close to a normal one.
        const normal = Array.from({ length: 12 }, random.getFraction).reduce((sum, value) => sum + value, -6);
        const step = standardDeviation * Math.sqrt(2 / correlationMilliseconds) * normal;
        deviation += step - deviation / correlationMilliseconds;
        return lastingFactor * Math.exp(deviation - standardDeviation ** 2 / 2);
    };
}
