/*
 * Selects the log lines that explain the outcome of a request: its own lines, and the state changes of processes around
 * that time.
 */
import { LogLine } from "./LogLine";

/** How long before a request's first line a state change may have affected the request, in milliseconds. */
const leadMilliseconds = 5_000;
/** How long after a request's last line the cause of its outcome may be logged, in milliseconds. */
const trailMilliseconds = 1_000;

/**
 * Selects the lines of a request's timeline, sorted by time.
 * @param lines - The log lines of all processes.
 * @param requestId - The request's id.
 * @returns The timeline; empty where no line has the request's id.
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

    /**
     * Determines whether a line without a request's id is a state change of a process that logged the request, of a
     * backend server of the request, or of the control members.
     */
    function isRelatedStateChange({ instance, fields }: LogLine): boolean {
        if (fields.requestId !== undefined) {
            return false;
        }
        return fields.instanceId === undefined
            ? loggingInstances.has(instance) || isControlChange(fields)
            : backendServers.has(fields.instanceId);
    }
}

/** Determines whether a line concerns leadership or an operator's change. */
function isControlChange(fields: Readonly<Record<string, unknown>>): boolean {
    return fields.role !== undefined || fields.change !== undefined || fields.term !== undefined;
}
