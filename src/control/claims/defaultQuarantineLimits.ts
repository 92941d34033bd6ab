/*
 * The bounds of the quarantine.
 */
import { QuarantineLimits } from "./QuarantineLimits";

/** How long evidence against requests counts. */
export const defaultQuarantineLimits: QuarantineLimits = {
    maximumImmediateSuspects: 4,
    suspicionRetentionMilliseconds: 600_000,
    initialQuarantineMilliseconds: 600_000,
    maximumQuarantineMilliseconds: 14_400_000,
    convictionRetentionMilliseconds: 3_600_000,
    maximumLostTrials: 2,
    maximumRetainedCrashes: 256,
};
