/*
 * An in-memory run log.
 */
import { RunLog } from "./RunLog";
import { RunLogEntry } from "./RunLogEntry";

/** Creates a run log for service replicas in the same process. */
export function createRunLog(): RunLog & { getEntries(): readonly RunLogEntry[]; } {
    const entries: RunLogEntry[] = [];
    const counts = new Map<string, number>();
    return { addRun, getRuns, getEntries: () => entries };

    function addRun(action: string, key: string, requestId: string): Promise<number> {
        const name = getName(action, key);
        const runs = (counts.get(name) ?? 0) + 1;
        counts.set(name, runs);
        entries.push({ action, key, requestId });
        return Promise.resolve(runs);
    }

    function getRuns(action: string, key: string): Promise<number> {
        return Promise.resolve(counts.get(getName(action, key)) ?? 0);
    }
}

function getName(action: string, key: string): string {
    return `${action}/${key}`;
}
