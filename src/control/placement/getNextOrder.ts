/*
 * Compares the state of a backend server with its target.
 */
import { OrderKind, ProcessRecord } from "../../protocol";
import { ModelRollout } from "./ModelRollout";
import { PlannedOrder } from "./PlannedOrder";

const defaultRole = "both";

/**
 * Gets the next order for a backend server: its weights first, then its adapters, then its role.
 * @param record - The directory record of the backend server's sidecar.
 * @param target - The desired version, adapters and roles.
 * @returns The order; undefined where the backend server has reached the target.
 */
export function getNextOrder(
    record: Pick<ProcessRecord, "instanceId" | "version" | "adapters" | "engineRole">,
    target: Pick<ModelRollout, "version" | "adapters" | "roles">,
): PlannedOrder | undefined {
    if (record.version !== target.version) {
        return { kind: OrderKind.LOAD_VERSION, adapter: "", role: "" };
    }
    const adapter = target.adapters.find(name => !record.adapters.includes(name));
    if (adapter !== undefined) {
        return { kind: OrderKind.LOAD_ADAPTER, adapter, role: "" };
    }
    const role = target.roles[record.instanceId] ?? defaultRole;
    const hasRole = record.engineRole === role || record.engineRole === "" && role === defaultRole;
    return hasRole ? undefined : { kind: OrderKind.CHANGE_ROLE, adapter: "", role };
}
