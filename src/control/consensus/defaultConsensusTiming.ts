/*
 * The default timing, for a group with network delays of a few milliseconds.
 */
import { ConsensusTiming } from "./ConsensusTiming";

/** The timing used where the options give none. */
export const defaultConsensusTiming: ConsensusTiming = {
    heartbeatIntervalMilliseconds: 250,
    minimumElectionTimeoutMilliseconds: 1_000,
    maximumElectionTimeoutMilliseconds: 2_000,
    maximumPromiseFactor: 3,
    clockRateDifference: 0.1,
    proposalTimeoutMilliseconds: 5_000,
    voterReplacementTimeoutMilliseconds: 30_000,
    learnerRemovalTimeoutMilliseconds: 30_000,
    maintenanceIntervalMilliseconds: 1_000,
};
