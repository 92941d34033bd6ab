/*
 * Exponential backoff with full jitter, up to the request's deadline.
 */
import { Backoff } from "./Backoff";
import { BackoffOptions } from "./BackoffOptions";

const defaultBaseDelayMilliseconds = 20;
const defaultMaximumDelayMilliseconds = 2_000;

/** Creates the backoff of one request's retries. */
export function createBackoff(options: BackoffOptions): Backoff {
    const { clock, random, deadlineMilliseconds } = options;
    const maximumDelayMilliseconds = options.maximumDelayMilliseconds ?? defaultMaximumDelayMilliseconds;
    let maximumJitterMilliseconds = options.baseDelayMilliseconds ?? defaultBaseDelayMilliseconds;
    return { getNextDelayMilliseconds };

    function getNextDelayMilliseconds(minimumDelayMilliseconds = 0): number | undefined {
        const delayMilliseconds = minimumDelayMilliseconds + random.getFraction() * maximumJitterMilliseconds;
        maximumJitterMilliseconds = Math.min(maximumDelayMilliseconds, 2 * maximumJitterMilliseconds);
        const retryMilliseconds = clock.getMonotonicMilliseconds() + delayMilliseconds;
        return retryMilliseconds < deadlineMilliseconds ? delayMilliseconds : undefined;
    }
}
