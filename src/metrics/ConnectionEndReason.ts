/*
 * The reasons for which callers' connections end.
 */

/** Why a caller's connection ends; the values are those of the label `reason` in metrics and of the field in the log. */
export enum ConnectionEndReason {
    /** The idle limit was over. */
    IdleLimit = "idleLimit",
    /** The process stops. */
    PlannedStop = "plannedStop",
    /** The caller sent bytes that are no request. */
    InvalidBytes = "invalidBytes",
    /** The head of a request took too long. */
    HeadTimeout = "headTimeout",
    /** A request was refused before its body had arrived. */
    BodyRefused = "bodyRefused",
    /** A response that had begun could not be completed. */
    ResponseBrokenOff = "responseBrokenOff",
    /** The last response announced the end. */
    AnnouncedEnd = "announcedEnd",
    /** Nothing arrived on the connection. */
    Unused = "unused",
    /** The caller closed the connection, or it failed on the caller's side. */
    CallerLeft = "callerLeft",
    /** None of these; a fault of the entry process. */
    Unknown = "unknown",
}
