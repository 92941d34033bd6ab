/*
 * Lists the sidecars that may be given new work, by the model or service that they serve. The lists are cached until a
 * record in them changes, since they are read for each request.
 */
import { ProcessRecord, ProcessRole, ProcessState } from "../protocol";
import { CandidateLists } from "./CandidateLists";

const minimumPreferredShare = 0.25;

/**
 * Creates empty lists.
 * @param options.isAvoided - Returns whether a sidecar should be avoided while enough others are available.
 */
export function createCandidateLists(options: { isAvoided: (record: ProcessRecord) => boolean; }): CandidateLists {
    const { isAvoided } = options;
    const sidecars = new Map<string, Map<string, ProcessRecord>>();
    const lists = new Map<string, readonly ProcessRecord[]>();
    return { get, replace, invalidate: serves => lists.delete(serves), invalidateAll: () => lists.clear() };

    function get(serves: string): readonly ProcessRecord[] {
        const list = lists.get(serves) ?? createList(serves);
        lists.set(serves, list);
        return list;
    }

    function replace(previous: ProcessRecord | undefined, record: ProcessRecord): void {
        if (previous !== undefined) {
            sidecars.get(previous.serves)?.delete(previous.instanceId);
            lists.delete(previous.serves);
        }
        if (record.role !== ProcessRole.COMPANION) {
            return;
        }
        const servingSame = sidecars.get(record.serves) ?? new Map<string, ProcessRecord>();
        servingSame.set(record.instanceId, record);
        sidecars.set(record.serves, servingSame);
        lists.delete(record.serves);
    }

    /** Lists the eligible sidecars that aren't avoided, or all eligible ones if too few would remain. */
    function createList(serves: string): readonly ProcessRecord[] {
        const eligible = [...sidecars.get(serves)?.values() ?? []].filter(isEligible);
        eligible.sort((first, second) => first.instanceId < second.instanceId ? -1 : 1);
        const preferred = eligible.filter(record => !isAvoided(record));
        const hasEnough = preferred.length > 0 && preferred.length >= eligible.length * minimumPreferredShare;
        return hasEnough ? preferred : eligible;
    }
}

/** Returns whether a sidecar accepts work, or did so before the control members lost contact with it. */
function isEligible(record: ProcessRecord): boolean {
    return record.state === ProcessState.READY || record.state === ProcessState.LOST;
}
