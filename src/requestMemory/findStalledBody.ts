/*
 * Decides which body is refused first if others need its memory or its connection. Addresses clients that send the larger part
 * of a body and keep the connection open: they make no progress, whereas a slow but honest client makes some.
 */
import { BodyState } from "./BodyState";

/** How long a body that others wait for may make no progress, in milliseconds. */
const stallMilliseconds = 500;
/** Progress times that differ by less count as equal, in milliseconds; the larger body is refused first then. */
const equalMilliseconds = 100;

/**
 * Finds the body that has made no progress for longest; of several, the one that occupies most. Bodies that wait for memory
 * are not read, so that their lack of progress is not their fault.
 * @param bodies - The bodies.
 * @param nowMilliseconds - The time, on the monotonic clock, in milliseconds.
 */
export function findStalledBody<T extends BodyState>(bodies: Iterable<T>, nowMilliseconds: number): T | undefined {
    return [...bodies]
        .filter(body =>
            !body.isComplete && body.requestedBytes === undefined
            && nowMilliseconds - body.progressMilliseconds >= stallMilliseconds
        )
        .sort((left, right) =>
            getAge(right, nowMilliseconds) - getAge(left, nowMilliseconds)
            || getBytes(right) - getBytes(left)
            || left.progressMilliseconds - right.progressMilliseconds
        )
        .at(0);
}

function getAge({ progressMilliseconds }: BodyState, nowMilliseconds: number): number {
    return Math.floor((nowMilliseconds - progressMilliseconds) / equalMilliseconds);
}

function getBytes({ reservedBytes, excessBytes }: BodyState): number {
    return reservedBytes + excessBytes;
}
