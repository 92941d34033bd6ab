/*
 * The sizes of deployments under test in a soak.
 */

/** Seeds from this one on play with faulty answers. */
const firstSeedWithAnswerFaults = 70_000;
/** Seeds from this one on play a deployment of the size of the grown ones, also with faulty answers. */
const firstGrownSeed = 80_000;
/** Seeds from this one on play with limits that change and with callers whose connections are idle for long. */
const firstSeedWithLimitChanges = 90_000;
/** Seeds between that one and this one play the small deployment. */
const firstGrownSeedWithLimitChanges = 100_000;
/** Seeds from this one on play a small deployment whose entry processes restart in series while servers fail. */
const firstSeedWithRestarts = 120_000;
/** Seeds from this one on do so in a deployment of the size of the grown ones. */
const firstGrownSeedWithRestarts = 130_000;
/** Seeds from this one on play a small deployment whose control members lose disks in turn and the links between them. */
const firstSeedWithMemberLosses = 140_000;

/** The numbers of processes and stand-ins, and what they do. */
export interface SoakSize {
    controlCount: number;
    entryCount: number;
    engineCount: number;
    plainServiceCount: number;
    /** The pause between two requests of the callers, in milliseconds. */
    sendIntervalMilliseconds: number;
    /** The number of entry processes that are stopped at once in the planned stops. */
    stoppedTogetherCount: number;
    /** Whether backend servers refuse requests, lose answers, forget connections and send second answers. */
    hasAnswerFaults: boolean;
    /** Whether the limits change, connections are idle for long, and requests without a status are recorded. */
    hasLimitChanges: boolean;
    /** Whether the entry processes are killed, stopped and reloaded in series while servers fail many requests. */
    hasRestarts: boolean;
    /** Whether links to control members fail, and control members that are slow lose disks in turn. */
    hasMemberLosses: boolean;
}

/** Gets the size of the deployment that a seed plays. */
export function getSoakSize(seed: number): SoakSize {
    const hasAnswerFaults = seed >= firstSeedWithAnswerFaults;
    const isSmall = seed < firstGrownSeed || isWithin(firstSeedWithLimitChanges, firstGrownSeedWithLimitChanges)
        || isWithin(firstSeedWithRestarts, firstGrownSeedWithRestarts) || seed >= firstSeedWithMemberLosses;
    const hasMemberLosses = seed >= firstSeedWithMemberLosses;
    const hasLimitChanges = isWithin(firstSeedWithLimitChanges, firstSeedWithMemberLosses);
    const hasRestarts = isWithin(firstSeedWithRestarts, firstSeedWithMemberLosses);
    if (isSmall) {
        return {
            controlCount: 3,
            entryCount: hasRestarts ? 3 : 2,
            engineCount: 3,
            plainServiceCount: 2,
            sendIntervalMilliseconds: hasRestarts ? 7 : 12,
            stoppedTogetherCount: 1,
            hasAnswerFaults,
            hasLimitChanges,
            hasRestarts,
            hasMemberLosses,
        };
    }
    return {
        controlCount: 5,
        entryCount: 23,
        engineCount: 12,
        plainServiceCount: 3,
        sendIntervalMilliseconds: 5,
        stoppedTogetherCount: 6,
        hasAnswerFaults,
        hasLimitChanges,
        hasRestarts,
        hasMemberLosses,
    };

    function isWithin(first: number, end: number): boolean {
        return seed >= first && seed < end;
    }
}
