/*
 * Maps the outcome of a call to an exit code.
 */
import { ExitCode } from "./ExitCode";
import { OperatorCallOutcome } from "./OperatorCallOutcome";

/**
 * Gets the exit code of a command from the outcome of its call.
 * @param outcome - The outcome of the call.
 */
export function getCallExitCode(outcome: OperatorCallOutcome): ExitCode {
    switch (outcome.kind) {
        case "invalid":
            return ExitCode.Invalid;
        case "unreachable":
            return ExitCode.Unreachable;
        case "answered":
            return getStatusExitCode(outcome.status);
    }
}

function getStatusExitCode(status: number): ExitCode {
    switch (status) {
        case 200:
            return ExitCode.Success;
        case 202:
            return ExitCode.Pending;
        case 409:
            return ExitCode.Conflict;
        case 400:
        case 404:
        case 405:
        case 413:
        case 422:
            return ExitCode.Invalid;
        case 429:
        case 503:
        case 504:
            return ExitCode.Unreachable;
        default:
            return ExitCode.Failure;
    }
}
