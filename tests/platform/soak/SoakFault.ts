/*
 * What a soak does to the system.
 */

/** The faults and changes that a soak draws from. */
export enum SoakFault {
    KillEntry = "killEntry",
    KillControl = "killControl",
    KillAllControl = "killAllControl",
    TerminateEntry = "terminateEntry",
    TerminateControl = "terminateControl",
    PauseEntry = "pauseEntry",
    PauseControl = "pauseControl",
    /** A control member's data folder is empty at its next start. */
    WipeControl = "wipeControl",
    /** A control member's log ends with bytes that were never written whole. */
    TearControl = "tearControl",
    CrashBackend = "crashBackend",
    DelayLink = "delayLink",
    CutLinkOneWay = "cutLinkOneWay",
    SilenceLink = "silenceLink",
    ResetLink = "resetLink",
    ReloadSettings = "reloadSettings",
    ChangeDocument = "changeDocument",
    NameWeights = "nameWeights",
    RevokeKey = "revokeKey",
}
