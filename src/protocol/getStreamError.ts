/*
 * Maps failures of HTTP/2 streams to the errors of the library's transport, which doesn't export its mapping.
 */
import { Code, ConnectError } from "@connectrpc/connect";

const abortedCodes = ["ERR_STREAM_WRITE_AFTER_END", "ERR_STREAM_DESTROYED", "ERR_HTTP2_INVALID_STREAM", "ECONNRESET"];
const unavailableCodes = ["ETIMEDOUT", "ENOTFOUND", "EAI_AGAIN", "ECONNREFUSED"];

/**
 * Gets the error of a call whose stream or connection failed.
 * @param reason - What Node.js or the library reported.
 */
export function getStreamError(reason: unknown): ConnectError {
    if (reason instanceof ConnectError) {
        return reason;
    }
    const codes = getErrorCodes(reason);
    const isOneOf = (expected: readonly string[]) => codes.some(code => expected.includes(String(code)));
    const code = isOneOf(abortedCodes)
        ? Code.Aborted
        : isOneOf(unavailableCodes)
        ? Code.Unavailable
        : Code.Internal;
    const error = ConnectError.from(reason, code);
    error.cause = reason;
    return error;
}

/** Gets the codes of the errors of Node.js along a chain of causes. */
function getErrorCodes(reason: unknown): readonly unknown[] {
    const chain = new Set<unknown>();
    for (let error = reason; error instanceof Error && !chain.has(error); error = error.cause) {
        chain.add(error);
    }
    return [...chain].map(error => (error as NodeJS.ErrnoException).code);
}
