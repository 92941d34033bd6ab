/*
 * The reasons of retries.
 */

/** Why a request is retried; the values are those of the label `reason` in metrics. */
export enum RetryReason {
    BetterSibling = "betterSibling",
    Overloaded = "overloaded",
    Draining = "draining",
    WrongIncarnation = "wrongIncarnation",
    WrongVersion = "wrongVersion",
    StaleSettings = "staleSettings",
    Unreachable = "unreachable",
    BackendCrashed = "backendCrashed",
    BackendRefused = "backendRefused",
    LinkLost = "linkLost",
    /** The backend server is silent: a second run was started beside the first. */
    SilentServer = "silentServer",
    ForbiddenAttempt = "forbiddenAttempt",
}
