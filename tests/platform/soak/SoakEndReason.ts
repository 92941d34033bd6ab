/*
 * Why a request of a soak ended without a status.
 */

/** The reasons, as the caller sees them. */
export enum SoakEndReason {
    /** The caller closed the connection at its own time limit. */
    CallerLimit = "callerLimit",
    /** The caller left early. */
    CallerLeft = "callerLeft",
    /** The connection was reset. */
    Reset = "reset",
    /** The entry process ended the connection without an answer. */
    Ended = "ended",
    /** The entry process refused the connection, or it was never established. */
    NeverConnected = "neverConnected",
    /** What arrived is no response. */
    InvalidBytes = "invalidBytes",
    /** The entry process stopped, was killed or stood still between the sending and the end. */
    ProcessDisturbed = "processDisturbed",
    Other = "other",
}
