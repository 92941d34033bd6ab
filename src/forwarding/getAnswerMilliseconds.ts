/*
 * Decides when a request without a response is answered with what is known of it. The caller began to count its time before
 * the request was read, and it gets an answer later than that is written. One that is written as the caller's time ends
 * reaches a connection that the caller has closed.
 */

/** The share of the caller's time that is left for the way of the answer. */
const marginShareOfCallerTime = 0.04;
/** The maximum of that time, in milliseconds: a few turns of a busy event loop, and the queues of slow links. */
const maximumMarginMilliseconds = 100;

/**
 * Gets the time of the answer, in milliseconds after the request's arrival.
 * @param timeoutMilliseconds - The time limit of the request's route, in milliseconds.
 * @param callerMilliseconds - How long the caller waits, in milliseconds; undefined where it does not say.
 */
export function getAnswerMilliseconds(timeoutMilliseconds: number, callerMilliseconds = Infinity): number {
    const marginMilliseconds = Math.min(maximumMarginMilliseconds, marginShareOfCallerTime * callerMilliseconds);
    return Math.min(timeoutMilliseconds, callerMilliseconds - marginMilliseconds);
}
