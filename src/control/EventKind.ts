/*
 * The kinds of events that operators can read afterwards.
 */

/** The kind of an event; the values are stored in snapshots and returned to operators. */
export enum EventKind {
    RolloutStarted = "rolloutStarted",
    RolloutCanaryPassed = "rolloutCanaryPassed",
    RolloutStepFailed = "rolloutStepFailed",
    RolloutStepLost = "rolloutStepLost",
    RolloutPaused = "rolloutPaused",
    RolloutResumed = "rolloutResumed",
    RolloutFailed = "rolloutFailed",
    RolloutDone = "rolloutDone",
    RequestQuarantined = "requestQuarantined",
    QuarantineReleased = "quarantineReleased",
    ClaimUnknown = "claimUnknown",
    ConfigurationChanged = "configurationChanged",
}
