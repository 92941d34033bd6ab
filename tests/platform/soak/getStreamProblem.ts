/*
 * Checks the events that a caller has received of one stream, over all its attempts.
 */
import { SoakStreamEvent } from "./SoakStreamEvent";

/**
 * Gets what is wrong with the events; undefined where nothing is.
 * @param requestId - The id of the request that began the stream; those of its resumptions add a hyphen and a number.
 * @param events - The events in the order in which they arrived.
 * @param isComplete - Whether the stream has ended as complete.
 */
export function getStreamProblem(
    requestId: string,
    events: readonly SoakStreamEvent[],
    isComplete: boolean,
): string | undefined {
    if (events.some(event => event.requestId !== requestId && !event.requestId.startsWith(`${requestId}-`))) {
        return "holds events of another request";
    }
    const versions = new Set(events.map(event => event.softwareVersion));
    if (versions.size > 1) {
        return `holds events of the software versions ${[...versions].join(", ")}`;
    }
    const ids = events.map(event => event.id);
    const isInOrder = ids.every((id, index) => id === index + 1);
    const hasEnd = events.at(-1)?.isLast ?? false;
    return isInOrder && (hasEnd || !isComplete) ? undefined : `got events ${ids.join(",")} as a whole answer`;
}
