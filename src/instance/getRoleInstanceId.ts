/*
 * The ids of a process's roles in the directory.
 */
import { InstanceSettings, Role } from "../settings";

/**
 * Gets the id of a role in the directory. It is the instance's id, except that the entry role has its own id where it
 * shares the process with a sidecar.
 * @param settings - The settings of the process.
 * @param role - The role.
 */
export function getRoleInstanceId(settings: InstanceSettings, role: Role): string {
    const hasBoth = settings.roles.includes(Role.Entry) && settings.roles.includes(Role.Sidecar);
    return hasBoth && role === Role.Entry ? `${settings.instanceId}.entry` : settings.instanceId;
}
