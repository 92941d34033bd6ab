/*
 * Reads a request's deadline.
 */
import { IncomingMessage } from "node:http";
import { Clock } from "../runtime";

const maximumTimeoutMilliseconds = 3_600_000;

/**
 * Gets when a request is of no more use, on the monotonic clock, in milliseconds.
 * @param request - The request; its `basilwing-timeout-milliseconds` header says how long the caller waits.
 * @param defaultMilliseconds - How long a caller waits that does not say so.
 */
export function getDeadline(request: IncomingMessage, clock: Clock, defaultMilliseconds: number): number {
    const requestedMilliseconds = Number(request.headers["basilwing-timeout-milliseconds"]);
    const isValid = Number.isFinite(requestedMilliseconds) && requestedMilliseconds > 0;
    const timeoutMilliseconds = isValid
        ? Math.min(requestedMilliseconds, maximumTimeoutMilliseconds)
        : defaultMilliseconds;
    return clock.getMonotonicMilliseconds() + timeoutMilliseconds;
}
