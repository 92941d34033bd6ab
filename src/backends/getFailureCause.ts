/*
 * Classifies the errors of the HTTP library.
 */
import { hasErrorCode } from "../errors";
import { FailureCause } from "./FailureCause";

const connectionErrorCodes = [
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
];

/**
 * Gets the cause of a failed call. Errors that are not recognized count as a lost connection.
 * @param thrown - The error that the HTTP library threw.
 * @param signal - The signal by which the caller can cancel the call.
 */
export function getFailureCause(thrown: unknown, signal: AbortSignal): FailureCause {
    if (signal.aborted) {
        return FailureCause.Cancelled;
    }
    if (hasErrorCode(thrown, ...connectionErrorCodes)) {
        return FailureCause.Unreachable;
    }
    if (hasErrorCode(thrown, "UND_ERR_RES_CONTENT_LENGTH_MISMATCH")) {
        return FailureCause.Truncated;
    }
    return FailureCause.ConnectionLost;
}
