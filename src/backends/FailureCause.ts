/*
 * The causes of failed calls to a backend server. Each cause can be counted separately.
 */

/** Why a call to a backend server failed. */
export enum FailureCause {
    /** No connection could be opened. */
    Unreachable = "unreachable",
    /** The connection was lost before the response was complete. */
    ConnectionLost = "connectionLost",
    /** The response ended without its end marker or with fewer bytes than its content length. */
    Truncated = "truncated",
    /** The response carries the id of another request. */
    RequestIdMismatch = "crossed",
    /** The response could not be parsed. */
    Malformed = "malformed",
    /** The caller cancelled the call. */
    Cancelled = "cancelled",
}
