/*
 * Checks the content of messages against the sender's identity: a process may register only its own record, and send
 * only the commands that its role allows.
 */
import { isMessage, type Message } from "@bufbuild/protobuf";
import { PeerIdentity } from "../security";
import { Role } from "../settings";
import {
    Command,
    ExecuteRequestSchema,
    ProcessRecord,
    ProcessRole,
    SessionUpdateSchema,
} from "./generated/basilwing/v1/control_pb";
import { getCommandRoles } from "./getCommandRoles";

const rolesByProcessRole: Readonly<Record<ProcessRole, Role | undefined>> = {
    [ProcessRole.UNSPECIFIED]: undefined,
    [ProcessRole.ENTRY]: Role.Entry,
    [ProcessRole.COMPANION]: Role.Sidecar,
    [ProcessRole.CONTROL]: Role.Control,
};

/**
 * Gets the reason why an identified process may not send a message.
 * @param identity - The sender's identity.
 * @param message - The message of a call, or one message of a stream.
 * @returns The reason, as the predicate of a sentence; undefined if the message is allowed.
 */
export function getMessageProblem(identity: PeerIdentity, message: Message): string | undefined {
    if (isMessage(message, ExecuteRequestSchema)) {
        const forbiddenCommand = message.commands.find(command => !isCommandAllowed(identity, command));
        return forbiddenCommand === undefined
            ? undefined
            : `may not send the command ${forbiddenCommand.command.case ?? "(empty)"}`;
    }
    if (isMessage(message, SessionUpdateSchema) && message.update.case === "record") {
        return getRecordProblem(identity, message.update.value);
    }
    return undefined;
}

/** Gets the reason why a process may not register a record; undefined if it may. */
function getRecordProblem(identity: PeerIdentity, record: ProcessRecord): string | undefined {
    if (record.instanceId !== identity.instanceId) {
        return `may not register as ${record.instanceId}`;
    }
    const role = rolesByProcessRole[record.role];
    return role !== undefined && identity.roles.includes(role) ? undefined : "may not register in that role";
}

/**
 * Tells whether a process may send a command. A sidecar may only report the begin or end of its own rollout steps; it
 * can't open a step or report the observation of a canary.
 */
function isCommandAllowed(identity: PeerIdentity, command: Command): boolean {
    if (!hasAnyRole(identity, getCommandRoles(command))) {
        return false;
    }
    if (command.command.case !== "rolloutStep" || identity.roles.includes(Role.Control)) {
        return true;
    }
    const step = command.command.value;
    return step.companion === identity.instanceId && (step.begun || step.ended) && !step.observed;
}

/** Tells whether a process has one of the roles. */
function hasAnyRole(identity: PeerIdentity, allowed: readonly Role[]): boolean {
    return identity.roles.some(role => allowed.includes(role));
}
