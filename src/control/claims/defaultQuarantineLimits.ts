/*
 * The default limits of the quarantine.
 */
import { QuarantineLimits } from "./QuarantineLimits";

/** The limits of the quarantine where nothing else is given. */
export const defaultQuarantineLimits: QuarantineLimits = {
    maximumImmediateSuspects: 4,
    suspicionRetentionMilliseconds: 600_000,
    initialQuarantineMilliseconds: 600_000,
    maximumQuarantineMilliseconds: 14_400_000,
    convictionRetentionMilliseconds: 3_600_000,
    maximumLostTrials: 2,
    maximumRetainedCrashes: 256,
};
