/*
 * How long a request may wait in the queue, so that its caller has time left for another entry process.
 */
import { QueueDemand } from "./QueueDemand";

/** The share of its caller's time for which a request waits. */
const waitShareOfCallerTime = 0.33;
/** The maximum wait of a request that states no time, in milliseconds. */
const maximumWaitMilliseconds = 5_000;

/**
 * Gets the wait after which a request is refused, in milliseconds.
 * @param demand - The request.
 */
export function getMaximumWait({ callerMilliseconds = Infinity }: QueueDemand): number {
    return Math.min(waitShareOfCallerTime * callerMilliseconds, maximumWaitMilliseconds);
}
