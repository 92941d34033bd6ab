/*
 * The ids under which a process's roles are known.
 */
import { InstanceSettings, Role } from "../settings";

/**
 * Gets the id of a role in the directory: the instance's own, unless entry and sidecar share the process.
 */
export function getRoleInstanceId(settings: InstanceSettings, role: Role): string {
    const hasBoth = settings.roles.includes(Role.Entry) && settings.roles.includes(Role.Sidecar);
    return hasBoth && role === Role.Entry ? `${settings.instanceId}.entry` : settings.instanceId;
}
