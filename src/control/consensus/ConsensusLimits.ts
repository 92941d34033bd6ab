/*
 * The sizes that a member of a replicated log keeps to.
 */

/** The bounds of queues, messages and the log. */
export interface ConsensusLimits {
    /** The largest command, in bytes. */
    maximumCommandBytes: number;
    /** The most commands that wait to be written. */
    maximumQueuedCommands: number;
    /** The most bytes of commands that wait to be written. */
    maximumQueuedBytes: number;
    /** The most commands that share one write to disk. */
    maximumBatchCommands: number;
    /** The bytes of entries from which a message to a peer is full. */
    maximumMessageBytes: number;
    /** The bytes of one part of a snapshot. */
    snapshotPartBytes: number;
    /** After how many applied entries a snapshot is taken. */
    snapshotThresholdEntries: number;
    /** After how many bytes of entries a snapshot is taken. */
    snapshotThresholdBytes: number;
    /** How many entries before the snapshot are kept for members that are a little behind. */
    retainedEntries: number;
    /** How many voters the group has when it is whole; further members are spares. */
    voterCount: number;
    /** The most members of the group, spares included. */
    maximumMembers: number;
}
