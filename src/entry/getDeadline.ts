/*
 * Determines the deadline of a request.
 */
import { IncomingMessage } from "node:http";
import { Clock } from "../runtime";

const maximumTimeoutMilliseconds = 3_600_000;

/**
 * Gets a request's deadline on the monotonic clock, in milliseconds.
 * @param request - The request; its `basilwing-timeout-milliseconds` header sets the timeout.
 * @param clock - The clock that the deadline is measured by.
 * @param defaultMilliseconds - The timeout of a request without a valid header.
 */
export function getDeadline(request: IncomingMessage, clock: Clock, defaultMilliseconds: number): number {
    const requestedMilliseconds = Number(request.headers["basilwing-timeout-milliseconds"]);
    const isValid = Number.isFinite(requestedMilliseconds) && requestedMilliseconds > 0;
    const timeoutMilliseconds = isValid
        ? Math.min(requestedMilliseconds, maximumTimeoutMilliseconds)
        : defaultMilliseconds;
    return clock.getMonotonicMilliseconds() + timeoutMilliseconds;
}
