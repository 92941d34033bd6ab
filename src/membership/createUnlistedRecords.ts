/*
 * Records which processes a control member left out of a complete update. A member that has just restarted has few
 * records, so the processes are avoided only after a grace period.
 */
import { ProcessRecord } from "../protocol";
import { Clock } from "../runtime";
import { UnlistedRecords } from "./UnlistedRecords";

const graceMilliseconds = 60_000;

/**
 * Creates an empty set of unlisted processes.
 * @param clock - The process's clock.
 */
export function createUnlistedRecords(clock: Clock): UnlistedRecords {
    const graceEnds = new Map<string, number>();
    let nextGraceEndMilliseconds = Number.POSITIVE_INFINITY;
    return { addUnlisted, clear, isOverdue, hasGraceEndedSinceLastCall };

    function addUnlisted(covered: readonly ProcessRecord[], listedIds: ReadonlySet<string>): boolean {
        const unlisted = covered.filter(({ instanceId }) => !listedIds.has(instanceId) && !graceEnds.has(instanceId));
        const graceEnd = clock.getMonotonicMilliseconds() + graceMilliseconds;
        for (const { instanceId } of unlisted) {
            graceEnds.set(instanceId, graceEnd);
            nextGraceEndMilliseconds = Math.min(nextGraceEndMilliseconds, graceEnd);
        }
        return unlisted.length > 0;
    }

    function clear(instanceId: string): void {
        graceEnds.delete(instanceId);
    }

    function isOverdue(instanceId: string): boolean {
        const graceEnd = graceEnds.get(instanceId);
        return graceEnd !== undefined && graceEnd <= clock.getMonotonicMilliseconds();
    }

    function hasGraceEndedSinceLastCall(): boolean {
        const now = clock.getMonotonicMilliseconds();
        if (now < nextGraceEndMilliseconds) {
            return false;
        }
        const laterEnds = [...graceEnds.values()].filter(end => end > now);
        nextGraceEndMilliseconds = Math.min(Number.POSITIVE_INFINITY, ...laterEnds);
        return true;
    }
}
