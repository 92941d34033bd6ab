/*
 * The sidecars that may be given new work, by what they serve. The lists are kept until something in them changes,
 * since the data path asks for them at each request.
 */
import { ProcessRecord, ProcessRole, ProcessState } from "../protocol";
import { CandidateLists } from "./CandidateLists";

const leastUndoubtedShare = 0.25;

/**
 * Creates empty lists.
 * @param options.isDoubtful - Tells whether a sidecar is better left alone while others can be had.
 */
export function createCandidateLists(options: { isDoubtful: (record: ProcessRecord) => boolean; }): CandidateLists {
    const { isDoubtful } = options;
    const sidecars = new Map<string, Map<string, ProcessRecord>>();
    const lists = new Map<string, readonly ProcessRecord[]>();
    return { get, replace, drop: serves => lists.delete(serves), dropAll: () => lists.clear() };

    function get(serves: string): readonly ProcessRecord[] {
        const list = lists.get(serves) ?? createList(serves);
        lists.set(serves, list);
        return list;
    }

    function replace(held: ProcessRecord | undefined, record: ProcessRecord): void {
        if (held !== undefined) {
            sidecars.get(held.serves)?.delete(held.instanceId);
            lists.delete(held.serves);
        }
        if (record.role !== ProcessRole.COMPANION) {
            return;
        }
        const sameWork = sidecars.get(record.serves) ?? new Map<string, ProcessRecord>();
        sameWork.set(record.instanceId, record);
        sidecars.set(record.serves, sameWork);
        lists.delete(record.serves);
    }

    /** Lists the sidecars without doubts, or all of them where the doubts would leave too few. */
    function createList(serves: string): readonly ProcessRecord[] {
        const willing = [...sidecars.get(serves)?.values() ?? []].filter(isWilling);
        willing.sort((first, second) => first.instanceId < second.instanceId ? -1 : 1);
        const undoubted = willing.filter(record => !isDoubtful(record));
        const hasEnough = undoubted.length > 0 && undoubted.length >= willing.length * leastUndoubtedShare;
        return hasEnough ? undoubted : willing;
    }
}

/** Tells whether a sidecar takes work, or did so when it was last heard of. */
function isWilling(record: ProcessRecord): boolean {
    return record.state === ProcessState.READY || record.state === ProcessState.LOST;
}
