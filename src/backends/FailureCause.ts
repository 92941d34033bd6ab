/*
 * What went wrong with a call to a backend server, so that each cause can be counted.
 */

/** Why a call to a backend server failed. */
export enum FailureCause {
    /** No connection came about. */
    Unreachable = "unreachable",
    /** The connection was lost before the answer was whole. */
    ConnectionLost = "connectionLost",
    /** The answer ended without its end marker or with fewer bytes than announced. */
    Truncated = "truncated",
    /** The answer bears the id of another request. */
    RequestIdMismatch = "crossed",
    /** The answer could not be read. */
    Malformed = "malformed",
    /** The caller gave the call up. */
    Cancelled = "cancelled",
}
