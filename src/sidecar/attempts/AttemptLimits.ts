/*
 * How much a sidecar remembers of attempts.
 */

/** The bounds of a register of attempts. */
export interface AttemptLimits {
    /** How many bytes of an attempt's answer are kept while it runs, and for those who come back. */
    replayBufferBytes: number;
    /** How many bytes of a claimed attempt's answer are kept. */
    claimedReplayBufferBytes: number;
    /** How long an attempt without a claim goes on with nobody following, in milliseconds. */
    unfollowedTimeoutMilliseconds: number;
    /** How long an ended attempt is remembered, in milliseconds. */
    endedRetentionMilliseconds: number;
    /** How long an ended attempt under a claim is remembered, in milliseconds. */
    claimedEndedRetentionMilliseconds: number;
    /** How many bytes of ended attempts' answers are kept; the oldest go first. */
    endedReplayBufferBytes: number;
    /** How many claims' numbers are remembered; the lowest go first, and none below them runs any more. */
    maximumFencingTokens: number;
}
