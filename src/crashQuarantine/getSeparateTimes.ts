/*
 * Counts crashes with a common cause once.
 */
import { Crash } from "./Crash";

/**
 * Gets the times of crashes in order, without those that follow another one too closely to have a cause of their own.
 * @param crashes - The crashes.
 * @param commonCauseMilliseconds - How close crashes of a common cause are, in milliseconds.
 */
export function getSeparateTimes(crashes: readonly Crash[], commonCauseMilliseconds: number): readonly number[] {
    const times = crashes.map(({ timeMilliseconds }) => timeMilliseconds).sort((left, right) => left - right);
    return times.reduce<number[]>(
        (separate, time) =>
            time - (separate.at(-1) ?? -Infinity) >= commonCauseMilliseconds ? [...separate, time] : separate,
        [],
    );
}
