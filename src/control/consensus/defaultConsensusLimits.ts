/*
 * The default limits of a group of control members.
 */
import { ConsensusLimits } from "./ConsensusLimits";

/** The limits used where the options give none. */
export const defaultConsensusLimits: ConsensusLimits = {
    maximumCommandBytes: 4_194_304,
    maximumQueuedCommands: 50_000,
    maximumQueuedBytes: 33_554_432,
    maximumBatchCommands: 5_000,
    maximumMessageBytes: 1_048_576,
    snapshotPartBytes: 524_288,
    snapshotThresholdEntries: 20_000,
    snapshotThresholdBytes: 33_554_432,
    snapshotStateMultiple: 4,
    snapshotMinimumLogBytes: 524_288,
    retainedEntries: 1_000,
    voterCount: 3,
    maximumMembers: 9,
};
