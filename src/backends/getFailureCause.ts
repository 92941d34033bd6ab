/*
 * Tells from an error of the HTTP library what went wrong with a call.
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
 * Gets the cause of a failed call.
 * @param thrown - What the HTTP library threw.
 * @param signal - The signal by which the caller could give the call up.
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
