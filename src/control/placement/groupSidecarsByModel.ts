/*
 * Sorts the sidecars that rollouts are about by their models, once for all models.
 */
import { BackendKind, ProcessRecord, ProcessRole } from "../../protocol";
import { isLive } from "./isLive";

/**
 * Gets the live sidecars of engines by model, each list by instance id.
 * @param records - All records.
 */
export function groupSidecarsByModel(records: readonly ProcessRecord[]): ReadonlyMap<string, readonly ProcessRecord[]> {
    const groups = new Map<string, ProcessRecord[]>();
    for (const record of records) {
        if (record.role === ProcessRole.COMPANION && record.backendKind === BackendKind.ENGINE && isLive(record)) {
            const group = groups.get(record.serves) ?? [];
            group.push(record);
            groups.set(record.serves, group);
        }
    }
    groups.forEach(group => group.sort((first, second) => first.instanceId < second.instanceId ? -1 : 1));
    return groups;
}
