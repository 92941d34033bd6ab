/*
 * Picks the lines that tell what became of a request: its own, and what processes came to believe meanwhile.
 */
import { LogLine } from "./LogLine";

/** How long before a request's first line beliefs may have changed that decided it, in milliseconds. */
const beforeMilliseconds = 5_000;
/** How long after its last line their cause may show, in milliseconds. */
const afterMilliseconds = 1_000;

/**
 * Selects the lines of a request's story, in the order of their times.
 * @param lines - The lines of all processes.
 * @param requestId - The request's id.
 * @returns The story; empty where no line names the request.
 */
export function selectRequestStory(lines: readonly LogLine[], requestId: string): readonly LogLine[] {
    const own = lines.filter(({ fields }) => fields.requestId === requestId);
    const times = own.map(line => line.timeMilliseconds);
    const first = Math.min(...times) - beforeMilliseconds;
    const last = Math.max(...times) + afterMilliseconds;
    const entries = new Set(own.map(line => line.instance));
    const backendServers = new Set(own.map(line => line.fields.instanceId).filter(id => id !== undefined));
    return lines
        .filter(line => own.includes(line) || isAround(line) && tellsBelief(line))
        .sort((left, right) => left.timeMilliseconds - right.timeMilliseconds);

    function isAround({ timeMilliseconds }: LogLine): boolean {
        return timeMilliseconds >= first && timeMilliseconds <= last;
    }

    /** Tells whether a line without a request concerns the story: its processes', its backend servers', or control's. */
    function tellsBelief({ instance, fields }: LogLine): boolean {
        if (fields.requestId !== undefined) {
            return false;
        }
        return fields.instanceId === undefined
            ? entries.has(instance) || isLeadership(fields)
            : backendServers.has(fields.instanceId);
    }
}

/** Tells whether a line is about who leads or what was changed. */
function isLeadership(fields: Readonly<Record<string, unknown>>): boolean {
    return fields.role !== undefined || fields.change !== undefined || fields.term !== undefined;
}
