/*
 * How long a connection of a soak's callers was idle before a request.
 */

/** The use of a connection for one request. */
export enum SoakConnectionUse {
    Fresh = "fresh",
    /** It was used a moment before. */
    Kept = "kept",
    /** It was idle for longer, for at most four fifths of the limit that the last response stated. */
    Idle = "idle",
    /** It was idle for more than four fifths of the stated limit, and for at most four fifths of the limit in force. */
    IdleBeyondStated = "idleBeyondStated",
    /** It was idle for longer, as the caller was late. */
    IdleTooLong = "idleTooLong",
}
