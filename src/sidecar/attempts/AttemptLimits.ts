/*
 * How many attempts and events a sidecar retains.
 */

/** The limits of an attempt registry. */
export interface AttemptLimits {
    /** How many bytes of events are buffered for an attempt without a claim, while it runs and to resume its stream. */
    replayBufferBytes: number;
    /** How many bytes of events are buffered for a claimed attempt. */
    claimedReplayBufferBytes: number;
    /** How long an attempt without a claim runs without a follower before it is cancelled, in milliseconds. */
    unfollowedTimeoutMilliseconds: number;
    /** How long an ended attempt without a claim is retained, in milliseconds. */
    endedRetentionMilliseconds: number;
    /** How long an ended attempt under a claim is retained, in milliseconds. */
    claimedEndedRetentionMilliseconds: number;
    /**
     * How many bytes of events are retained of ended attempts, separately for those with and without a claim; the oldest
     * attempts are removed first.
     */
    endedReplayBufferBytes: number;
    /**
     * How many fencing tokens are recorded. The oldest are discarded first, and no unrecorded token up to the highest
     * discarded one runs any more.
     */
    maximumFencingTokens: number;
}
