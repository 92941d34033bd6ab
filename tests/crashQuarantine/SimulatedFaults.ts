/** The faults that a simulation of crashes injects. */
export interface SimulatedFaults {
    seed: number;
    /** The share of the runs with a guilty subject that crash their backend server. */
    crashShare?: number;
    /** The times at which half of the backend servers crash for another reason, in milliseconds. */
    stormMilliseconds?: readonly number[];
    /** Backend servers that crash for another reason each second, one at a time. */
    otherCrashesPerSecond?: number;
    /** The share of the sound responses that break off without a crash. */
    brokenShare?: number;
    /** The time between two planned restarts of backend servers in turn, each under another id and without time down. */
    restartIntervalMilliseconds?: number;
    /**
     * The share of the answers that are lost with their connection, without a crash, and of the requests to a former id
     * that end so instead of being refused.
     */
    lostShare?: number;
    /** When no entry process has contact to control; each then decides by its own observations. */
    controlCutMilliseconds?: readonly [from: number, to: number];
    /** The times at which another member becomes the leader, which has no evidence yet. */
    leaderChangeMilliseconds?: readonly number[];
    /** The times at which an entry process is restarted and forgets what it has observed. */
    entryRestartMilliseconds?: readonly number[];
}
