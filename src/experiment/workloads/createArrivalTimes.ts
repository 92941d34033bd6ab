/*
 * When requests arrive.
 */
import { RandomSource } from "../../runtime";

const millisecondsPerSecond = 1_000;

/**
 * Creates the arrival times of an open loop: arrivals don't wait for answers.
 * @param perSecond - How many arrive a second.
 * @param seconds - For how long.
 * @returns The times in milliseconds from the start, at exponential distances.
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
