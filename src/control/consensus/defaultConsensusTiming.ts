/*
 * The times of a group whose members are a few milliseconds apart.
 */
import { ConsensusTiming } from "./ConsensusTiming";

/** The times used unless others are given. */
export const defaultConsensusTiming: ConsensusTiming = {
    heartbeatIntervalMilliseconds: 250,
    minimumElectionTimeoutMilliseconds: 1_000,
    maximumElectionTimeoutMilliseconds: 2_000,
    clockRateDifference: 0.1,
    proposalTimeoutMilliseconds: 5_000,
    voterReplacementTimeoutMilliseconds: 30_000,
    maintenanceIntervalMilliseconds: 1_000,
};
