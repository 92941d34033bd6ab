/*
 * Recognises calls that failed before the sidecar could receive or run them.
 */
import { ConnectError } from "@connectrpc/connect";
import { hasErrorCode } from "../../errors";

const connectionErrorCodes = ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL"];
const maximumCauseDepth = 8;

/**
 * Returns whether a call failed before any byte of it left this process, or was refused with the metadata
 * `basilwing-run: no`. Counts only connection errors that can't come from an established connection.
 * @param thrown - The error, whose causes are examined too.
 */
export function isNotConnected(thrown: unknown): boolean {
    if (thrown instanceof ConnectError && thrown.metadata.get("basilwing-run") === "no") {
        return true;
    }
    let error = thrown;
    for (let depth = 0; depth < maximumCauseDepth && error instanceof Error; depth++) {
        if (hasErrorCode(error, ...connectionErrorCodes)) {
            return true;
        }
        error = error.cause;
    }
    return false;
}
