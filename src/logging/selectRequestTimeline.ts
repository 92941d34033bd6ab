/*
 * Picks the lines that tell what became of a request: its own, and what processes came to believe meanwhile.
 */
import { LogLine } from "./LogLine";

/** How long before a request's first line beliefs may have changed that decided it, in milliseconds. */
const leadMilliseconds = 5_000;
/** How long after its last line their cause may show, in milliseconds. */
const trailMilliseconds = 1_000;

/**
 * Selects the lines of a request's story, in the order of their times.
 * @param lines - The lines of all processes.
 * @param requestId - The request's id.
 * @returns The story; empty where no line names the request.
 */
export function selectRequestTimeline(lines: readonly LogLine[], requestId: string): readonly LogLine[] {
    const requestLines = lines.filter(({ fields }) => fields.requestId === requestId);
    const requestTimes = requestLines.map(line => line.timeMilliseconds);
    const windowStart = Math.min(...requestTimes) - leadMilliseconds;
    const windowEnd = Math.max(...requestTimes) + trailMilliseconds;
    const loggingInstances = new Set(requestLines.map(line => line.instance));
    const backendServers = new Set(requestLines.map(line => line.fields.instanceId).filter(id => id !== undefined));
    return lines
        .filter(line => requestLines.includes(line) || isWithinWindow(line) && isRelatedStateChange(line))
        .sort((left, right) => left.timeMilliseconds - right.timeMilliseconds);

    function isWithinWindow({ timeMilliseconds }: LogLine): boolean {
        return timeMilliseconds >= windowStart && timeMilliseconds <= windowEnd;
    }

    /** Tells whether a line without a request concerns the story: its processes', its backend servers', or control's. */
    function isRelatedStateChange({ instance, fields }: LogLine): boolean {
        if (fields.requestId !== undefined) {
            return false;
        }
        return fields.instanceId === undefined
            ? loggingInstances.has(instance) || isControlChange(fields)
            : backendServers.has(fields.instanceId);
    }
}

/** Tells whether a line is about who leads or what was changed. */
function isControlChange(fields: Readonly<Record<string, unknown>>): boolean {
    return fields.role !== undefined || fields.change !== undefined || fields.term !== undefined;
}
