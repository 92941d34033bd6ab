/*
 * The membership of one role: its copy of the configuration, and its session with the control members.
 */
import { createConfigurationView, UpdatableConfigurationView } from "../control/configuration";
import { createIncarnation, createMembership, Membership, ProcessIdentity } from "../membership";
import { InstanceContext } from "./InstanceContext";

/** A role's membership, with the identity and the configuration that it uses. */
interface RoleMembership {
    /** The identity of the role in the directory. */
    identity: ProcessIdentity;
    /** The role's copy of the configuration. */
    configuration: UpdatableConfigurationView;
    /** The directory, the authority and the session with the control members. */
    membership: Membership;
}

/**
 * Creates the membership of a role.
 * @param context - The shared dependencies of the process's roles.
 * @param role - The fields of the identity that depend on the role.
 */
export function createRoleMembership(
    context: InstanceContext,
    role: Pick<ProcessIdentity, "instanceId" | "role" | "backendKind" | "serves">,
): RoleMembership {
    const { clock, logger, metrics, random, settings, transports } = context;
    const { address, port } = settings.listeners.internal;
    const identity: ProcessIdentity = {
        ...role,
        incarnation: createIncarnation(clock, random),
        address: `${address}:${port}`,
        dataCentre: settings.dataCentre,
        region: settings.region,
    };
    const configuration = createConfigurationView({ metrics });
    const members = settings.control.members;
    const peers = settings.control.peers;
    const membership = createMembership({
        identity,
        members,
        getPeerAddresses: peers && (() => Promise.resolve(peers)),
        transports,
        configuration,
        clock,
        random,
        logger,
        metrics,
    });
    return { identity, configuration, membership };
}
