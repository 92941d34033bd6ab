/*
 * Adapts the promise between the minimum election timeout and a multiple of it. Members on busy machines respond late, and
 * a leader whose lease is shorter than that loses its leadership again and again. The promise grows at once and shrinks
 * after a calm time, so that a leader on fast machines is replaced as soon as before.
 */
import { Clock } from "../../runtime";
import { ConsensusTiming } from "./ConsensusTiming";
import { PromiseLength } from "./PromiseLength";

/** The promise as a multiple of the age of the newest acknowledged message. */
const contactAgeFactor = 3;
/** How long a longer promise is kept without need, in milliseconds. */
const calmMilliseconds = 10_000;

/**
 * Creates a length that starts at the minimum election timeout.
 * @param timing - The bounds.
 * @param clock - The clock of the calm time.
 */
export function createPromiseLength(timing: ConsensusTiming, clock: Clock): PromiseLength {
    const minimum = timing.minimumElectionTimeoutMilliseconds;
    const maximum = minimum * timing.maximumPromiseFactor;
    let length = minimum;
    let neededMilliseconds = -Infinity;
    return {
        getMilliseconds: () => length,
        recordContactAge: milliseconds => record(contactAgeFactor * milliseconds),
        recordLostLease: () => record(2 * length),
        recordPromise: record,
    };

    function record(needed: number): void {
        const now = clock.getMonotonicMilliseconds();
        const wanted = Math.ceil(Math.min(maximum, Math.max(minimum, needed)));
        if (wanted >= length) {
            length = wanted;
            neededMilliseconds = now;
        }
        else if (now - neededMilliseconds >= calmMilliseconds) {
            length = Math.max(wanted, Math.ceil(length / 2));
            neededMilliseconds = now;
        }
    }
}
