/*
 * Draws the arrival times of requests.
 */
import { RandomSource } from "../../runtime";

const millisecondsPerSecond = 1_000;

/**
 * Creates the arrival times of a Poisson process; arrivals do not depend on responses.
 * @param perSecond - The mean arrival rate, per second.
 * @param seconds - The time during which requests arrive, in seconds.
 * @param random - The source of random numbers.
 * @returns The times in milliseconds from the start, in ascending order.
 */
export function createArrivalTimes(perSecond: number, seconds: number, random: RandomSource): readonly number[] {
    const times: number[] = [];
    let time = 0;
    while (perSecond > 0) {
        time += -Math.log(1 - random.getFraction()) / perSecond * millisecondsPerSecond;
        if (time >= seconds * millisecondsPerSecond) {
            break;
        }
        times.push(time);
    }
    return times;
}
