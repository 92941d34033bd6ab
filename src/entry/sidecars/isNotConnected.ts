/*
 * Recognises calls of which no byte has left.
 */
import { ConnectError } from "@connectrpc/connect";
import { isErrorCode } from "../../errors";

const connectionErrorCodes = ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL"];
const maximumCauseDepth = 8;

/**
 * Tells whether a failed call never left this process. Only errors that can't come from a connection that has stood
 * count.
 */
export function isNotConnected(thrown: unknown): boolean {
    if (thrown instanceof ConnectError && thrown.metadata.get("basilwing-run") === "no") {
        return true;
    }
    let error = thrown;
    for (let depth = 0; depth < maximumCauseDepth && error instanceof Error; depth++) {
        if (isErrorCode(error, ...connectionErrorCodes)) {
            return true;
        }
        error = error.cause;
    }
    return false;
}
