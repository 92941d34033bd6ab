/*
 * A role's access to the replicated state.
 */
import { ControlClient, createControlClient, createControlPeers } from "../control";
import { InstanceContext } from "./InstanceContext";

/**
 * Creates a client of the control members in the settings.
 * @param context - The shared dependencies of the process's roles.
 */
export function createRoleControlClient(context: InstanceContext): ControlClient {
    const { clock, random, settings, transports } = context;
    const members = settings.control.members;
    return createControlClient({ members, peers: createControlPeers(transports), clock, random });
}
