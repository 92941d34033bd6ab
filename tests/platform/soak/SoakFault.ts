/*
 * The faults and planned changes of a soak.
 */

/** The kinds of faults and planned changes from which a soak chooses. */
export enum SoakFault {
    KillEntry = "killEntry",
    KillControl = "killControl",
    KillAllControl = "killAllControl",
    TerminateEntry = "terminateEntry",
    TerminateControl = "terminateControl",
    PauseEntry = "pauseEntry",
    PauseControl = "pauseControl",
    /** Kills a control member and empties its data folder before its next start. */
    WipeControl = "wipeControl",
    /** Kills a control member and appends an incomplete record to its log before its next start. */
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
