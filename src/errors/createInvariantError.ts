/*
 * The error of a violated invariant, the only kind of error that stops the process.
 */
import VError from "verror";

/**
 * Creates the error of a violated invariant.
 * @param message - How the invariant is violated.
 * @param info - Values that help to find the cause; never prompts or keys.
 * @param cause - The error that revealed the violation.
 */
export function createInvariantError(message: string, info: Record<string, unknown> = {}, cause?: Error): VError {
    return new VError({ name: "InvariantError", info, cause }, "%s", message);
}
