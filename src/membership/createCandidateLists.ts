/*
 * The sidecars that may be given new work, by what they serve. The lists are kept until something in them changes,
 * since the data path asks for them at each request.
 */
import { ProcessRecord, ProcessRole, ProcessState } from "../protocol";
import { CandidateLists } from "./CandidateLists";

const minimumPreferredShare = 0.25;

/**
 * Creates empty lists.
 * @param options.isDoubtful - Tells whether a sidecar is better left alone while others can be had.
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

    /** Lists the sidecars without doubts, or all of them where the doubts would leave too few. */
    function createList(serves: string): readonly ProcessRecord[] {
        const eligible = [...sidecars.get(serves)?.values() ?? []].filter(isEligible);
        eligible.sort((first, second) => first.instanceId < second.instanceId ? -1 : 1);
        const preferred = eligible.filter(record => !isAvoided(record));
        const hasEnough = preferred.length > 0 && preferred.length >= eligible.length * minimumPreferredShare;
        return hasEnough ? preferred : eligible;
    }
}

/** Tells whether a sidecar takes work, or did so when it was last heard of. */
function isEligible(record: ProcessRecord): boolean {
    return record.state === ProcessState.READY || record.state === ProcessState.LOST;
}
