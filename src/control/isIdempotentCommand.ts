/*
 * Determines which commands may be sent again although they may have been committed.
 */
import { Command } from "../protocol";

/**
 * Returns whether a command has an id by which the replicated state detects a repetition. Sending such a command again
 * returns the first result or changes nothing.
 * @param command - The command.
 */
export function isIdempotentCommand({ command }: Command): boolean {
    switch (command.case) {
        case "configuration":
        case "openClaim":
        case "settleClaim":
        case "crashReport":
        case "requestTrial":
        case "endTrial":
            return true;
        default:
            return false;
    }
}
