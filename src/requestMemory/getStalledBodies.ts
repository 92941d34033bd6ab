/*
 * Decides the order in which bodies are refused if others need its memory or its connection. Addresses clients that send the larger part
 * of a body and keep the connection open: they make no progress, whereas a slow but honest client makes some.
 */
import { BodyState } from "./BodyState";

/** How long a body that others wait for may make no progress, in milliseconds. */
const stallMilliseconds = 500;
/** Progress times that differ by less count as equal, in milliseconds; the larger body is refused first then. */
const equalMilliseconds = 100;

/**
 * Gets the bodies that have made no progress for some time: the one without for longest first, of several the largest. Bodies that wait for memory
 * are not read, so that their lack of progress is not their fault.
 * @param bodies - The bodies.
 * @param nowMilliseconds - The time, on the monotonic clock, in milliseconds.
 */
export function getStalledBodies<T extends BodyState>(bodies: Iterable<T>, nowMilliseconds: number): readonly T[] {
    return [...bodies]
        .filter(body =>
            !body.isComplete && body.requestedBytes === undefined
            && nowMilliseconds - body.progressMilliseconds >= stallMilliseconds
        )
        .sort((left, right) =>
            getAge(right, nowMilliseconds) - getAge(left, nowMilliseconds)
            || getBytes(right) - getBytes(left)
            || left.progressMilliseconds - right.progressMilliseconds
        );
}

function getAge({ progressMilliseconds }: BodyState, nowMilliseconds: number): number {
    return Math.floor((nowMilliseconds - progressMilliseconds) / equalMilliseconds);
}

function getBytes({ reservedBytes, excessBytes }: BodyState): number {
    return reservedBytes + excessBytes;
}
