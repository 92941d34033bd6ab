/*
 * The largest value that a quantity has had recently.
 */
import { Clock } from "../runtime";

/**
 * Creates the maximum of a quantity that has no value yet.
 * @param retentionMilliseconds - How long a value counts after another one has replaced it.
 * @param clock - Measures the time since values were replaced.
 */
export function createRecentMaximum(retentionMilliseconds: number, clock: Clock) {
    /** The values in ascending order of time, each above all later ones; the last one is in force. */
    let values: readonly { value: number; endMilliseconds: number; }[] = [];
    return { record, get };

    /** Records the value that the quantity has from now on. */
    function record(value: number): void {
        const now = clock.getMonotonicMilliseconds();
        const last = values.at(-1);
        const formerValues = last ? [...values.slice(0, -1), { ...last, endMilliseconds: now }] : [];
        values = [
            ...formerValues.filter(former => former.value > value && isRecent(former)),
            { value, endMilliseconds: Infinity },
        ];
    }

    /** Gets the maximum; -Infinity where no value was recorded. */
    function get(): number {
        return values.find(isRecent)?.value ?? -Infinity;
    }

    function isRecent({ endMilliseconds }: { endMilliseconds: number; }): boolean {
        return clock.getMonotonicMilliseconds() - endMilliseconds <= retentionMilliseconds;
    }
}
