/*
 * The settings of an experiment's entries, with limits high enough not to affect the result.
 */
import { EntrySettings } from "../../settings";

/** The settings of an experiment's entries. */
export const experimentEntrySettings: EntrySettings = {
    maximumBodyBytes: 8_388_608,
    maximumHeaderBytes: 16_384,
    maximumConnections: 10_000,
    maximumRequestsInFlight: 10_000,
    requestTimeoutMilliseconds: 30_000,
    idleTimeoutMilliseconds: 75_000,
    defaultDeadlineMilliseconds: 120_000,
    retryBudgetShare: 0.5,
    drainDeadlineMilliseconds: 5_000,
};
