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
    ForbiddenAttempt = "forbiddenAttempt",
}
