/*
 * The limits on queues, messages and log sizes of a member of a replicated log.
 */

/** The limits of queues, messages, the log and the group. */
export interface ConsensusLimits {
    /** The maximum size of a command, in bytes. */
    maximumCommandBytes: number;
    /** The maximum number of commands queued for writing. */
    maximumQueuedCommands: number;
    /** The maximum size of all commands queued for writing, in bytes. */
    maximumQueuedBytes: number;
    /** The maximum number of commands written to disk in one batch. */
    maximumBatchCommands: number;
    /** The maximum size of the entries in one message to a peer, in bytes; one entry is always sent. */
    maximumMessageBytes: number;
    /** The maximum size of one part of a snapshot, in bytes. */
    snapshotPartBytes: number;
    /** The number of applied entries since the last snapshot at which the next one is taken. */
    snapshotThresholdEntries: number;
    /** The size of the stored entries at which a snapshot is taken, in bytes. */
    snapshotThresholdBytes: number;
    /**
     * The size of the entries applied since the last snapshot, as a multiple of that snapshot's size, at which the next
     * one is taken: what a member reads and applies after a restart stays proportional to the state.
     */
    snapshotStateMultiple: number;
    /** The minimum size of the entries applied since the last snapshot for that, in bytes. */
    snapshotMinimumLogBytes: number;
    /**
     * The maximum number of entries covered by the snapshot that are retained for followers that are slightly behind. They
     * have at most the size of the snapshot, or `snapshotMinimumLogBytes` where that is larger.
     */
    retainedEntries: number;
    /** The target number of voters; further members stay learners until a voter has to be replaced. */
    voterCount: number;
    /** The maximum number of members, learners included. */
    maximumMembers: number;
}
