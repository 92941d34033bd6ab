/*
 * The roles that may call each method. For instance, an entry process can't vote, and a sidecar can't act as a control
 * member.
 */
import type { DescMethod } from "@bufbuild/protobuf";
import { Role } from "../settings";
import { CompanionService } from "./generated/basilwing/v1/companion_pb";
import { ConsensusService } from "./generated/basilwing/v1/consensus_pb";
import { ControlService } from "./generated/basilwing/v1/control_pb";
import { FeedService, StreamOriginService } from "./generated/basilwing/v1/forwarding_pb";

const allRoles = [Role.Entry, Role.Sidecar, Role.Control];
const callerRoles: Readonly<Record<string, Readonly<Record<string, readonly Role[]>>>> = {
    [ConsensusService.typeName]: {
        requestVote: [Role.Control],
        appendEntries: [Role.Control],
        heartbeat: [Role.Control],
        installSnapshot: [Role.Control],
        join: [Role.Control],
        readIndex: [Role.Control],
        getLeadership: [Role.Control],
    },
    [ControlService.typeName]: {
        session: allRoles,
        execute: allRoles,
        query: allRoles,
        shareState: [Role.Control],
        relay: [Role.Control],
        waitInForce: [Role.Control],
    },
    [FeedService.typeName]: {
        poll: [Role.Entry],
    },
    [StreamOriginService.typeName]: {
        record: [Role.Entry],
        find: [Role.Entry],
    },
    [CompanionService.typeName]: {
        dispatch: [Role.Entry],
        resume: [Role.Entry],
        forbidAttempt: [Role.Entry],
        cancel: [Role.Entry],
        vouch: allRoles,
        fetchState: allRoles,
    },
};

/**
 * Gets the roles that may call a method.
 * @param method - The method's descriptor.
 * @returns The roles; empty for a method that is not listed, which nobody may call.
 */
export function getCallerRoles(method: DescMethod): readonly Role[] {
    return callerRoles[method.parent.typeName]?.[method.localName] ?? [];
}
