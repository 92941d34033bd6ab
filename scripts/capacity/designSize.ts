/*
 * The size that the system is designed for. What is named an assumption on the page stands here beside what is given.
 */

const secondsPerDay = 86_400;

/** The counts by which measured slopes are multiplied. */
export const designSize = {
    entries: 510,
    sidecars: 1_900,
    regions: 2,
    dataCentres: 8,
    controlMembersPerRegion: 4,
    maximumControlInstances: 9,
    workspaces: 2_200,
    models: 22,
    requestsPerSecond: 15_000,
    tokensPerSecond: 4_800_000,
    cachedBlocks: 320_000_000,
    cacheEventsPerSecond: 2_300_000,
    changesPerSecond: 6_300 / secondsPerDay,
    replacementsPerSecond: (21 + 240) / secondsPerDay,
    /** Assumption: the versions of a record from a process's leaving until its successor is ready. */
    recordVersionsPerReplacement: 6,
    /** Assumption: the share of requests that are not idempotent and so are claimed. */
    claimedShare: 0.01,
    maximumInForceMilliseconds: 19_000,
} as const;
