/*
 * Reads the events that the engines of a soak send.
 */
import { SoakStreamEvent } from "./SoakStreamEvent";

const eventPattern = /id: (\d+)\ndata: (\S+) (\S+) (last|more)\n\n/g;

/** Gets the whole events of a stream, in the order in which they arrived. */
export function parseSoakEvents(text: string): readonly SoakStreamEvent[] {
    return [...text.matchAll(eventPattern)].map(([, id, requestId, softwareVersion, end]) => ({
        id: Number(id),
        requestId: requestId!,
        softwareVersion: softwareVersion!,
        isLast: end === "last",
    }));
}
