/*
 * Writes the events that the engines of a soak send.
 */
import { SoakStreamEvent } from "./SoakStreamEvent";

/** Formats an event as server-sent event. */
export function formatSoakEvent({ id, requestId, softwareVersion, isLast }: SoakStreamEvent): string {
    return `id: ${id}\ndata: ${requestId} ${softwareVersion} ${isLast ? "last" : "more"}\n\n`;
}
