/*
 * The default limits of a sidecar's attempt registry.
 */
import { AttemptLimits } from "./AttemptLimits";

/** The limits that apply unless others are given. */
export const defaultAttemptLimits: AttemptLimits = {
    replayBufferBytes: 262_144,
    claimedReplayBufferBytes: 1_048_576,
    unfollowedTimeoutMilliseconds: 10_000,
    endedRetentionMilliseconds: 10_000,
    claimedEndedRetentionMilliseconds: 300_000,
    endedReplayBufferBytes: 16_777_216,
    maximumFencingTokens: 50_000,
};
