/*
 * The roles that may send each command to be committed. Operators' changes may be sent by control members alone, since
 * these have checked the operator's token.
 */
import { assertNever } from "../errors";
import { Role } from "../settings";
import { Command } from "./generated/basilwing/v1/control_pb";

/**
 * Gets the roles that may send a command.
 * @param command - The command.
 * @returns The roles; empty for an empty command.
 */
export function getCommandRoles(command: Command): readonly Role[] {
    const name = command.command.case;
    switch (name) {
        case "openClaim":
        case "requestTrial":
        case "endTrial":
            return [Role.Entry, Role.Control];
        case "rolloutStep":
            return [Role.Sidecar, Role.Control];
        case "settleClaim":
        case "crashReport":
            return [Role.Entry, Role.Sidecar, Role.Control];
        case "configuration":
        case "claimBounds":
        case "companionSetChange":
        case "resolveClaim":
        case "releaseQuarantine":
        case "rolloutStart":
        case "rolloutControl":
            return [Role.Control];
        case undefined:
            return [];
        default:
            return assertNever(name);
    }
}
