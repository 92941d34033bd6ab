/*
 * The role that serves each service.
 */
import type { DescService } from "@bufbuild/protobuf";
import { Role } from "../settings";
import { CompanionService } from "./generated/basilwing/v1/companion_pb";
import { ConsensusService } from "./generated/basilwing/v1/consensus_pb";
import { ControlService } from "./generated/basilwing/v1/control_pb";
import { FeedService, StreamOriginService } from "./generated/basilwing/v1/forwarding_pb";

const serverRoles: Readonly<Record<string, Role>> = {
    [CompanionService.typeName]: Role.Sidecar,
    [ConsensusService.typeName]: Role.Control,
    [ControlService.typeName]: Role.Control,
    [FeedService.typeName]: Role.Control,
    [StreamOriginService.typeName]: Role.Control,
};

/**
 * Gets the role that a process must have to serve a service.
 * @param service - The service's descriptor.
 * @returns The role; undefined for a service that is not listed.
 */
export function getServerRole(service: DescService): Role | undefined {
    return serverRoles[service.typeName];
}
