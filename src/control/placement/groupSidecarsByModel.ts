/*
 * Groups the sidecars that take part in rollouts by model.
 */
import { BackendKind, ProcessRecord, ProcessRole } from "../../protocol";
import { isLive } from "./isLive";

/**
 * Groups the live sidecars of engines by model; each group is ordered by instance id.
 * @param records - The directory records of all processes.
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
