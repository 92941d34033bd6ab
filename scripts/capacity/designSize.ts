/*
 * The size that the system is designed for: the given figures, and the assumptions that the page lists.
 */

const secondsPerDay = 86_400;

/** The counts that the measured slopes are multiplied by. */
export const designSize = {
    /** The entry processes. */
    entries: 510,
    /** The sidecars, one for each replica of a backend server. */
    sidecars: 1_900,
    regions: 2,
    /** The data centres of all regions together. */
    dataCentres: 8,
    /** Assumption: the control members of a region, three voters and a learner. */
    controlMembersPerRegion: 4,
    /** The most instances that may be dedicated to control. */
    maximumControlInstances: 9,
    workspaces: 2_200,
    models: 22,
    /** The requests of all callers at the peak. */
    requestsPerSecond: 15_000,
    /** The tokens of all responses at the peak. */
    tokensPerSecond: 4_800_000,
    /** The cached blocks of all engines together. */
    cachedBlocks: 320_000_000,
    /** The cache events of all engines together. */
    cacheEventsPerSecond: 2_300_000,
    /** The changes of the configuration: 6,300 a day. */
    changesPerSecond: 6_300 / secondsPerDay,
    /** The replacements of processes: 21 after failures and 240 planned ones a day. */
    replacementsPerSecond: (21 + 240) / secondsPerDay,
    /** Assumption: the versions of directory records from the start of a process's shutdown until its successor is ready. */
    recordVersionsPerReplacement: 6,
    /** Assumption: the share of requests that are not idempotent and are therefore claimed. */
    claimedShare: 0.01,
    /** The time within which a change of the configuration must be in force. */
    maximumInForceMilliseconds: 19_000,
} as const;
