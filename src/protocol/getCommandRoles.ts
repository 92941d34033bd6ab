/*
 * Which processes may have which commands committed. Operators' changes reach the log through control members alone,
 * which have checked the operator's token.
 */
import { assertNever } from "../errors";
import { Role } from "../settings";
import { Command } from "./generated/basilwing/v1/control_pb";

/**
 * Gets the roles that may send a command; none for an empty one.
 * @param command - The command.
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
