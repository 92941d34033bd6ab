/*
 * The progress of an experiment.
 */
import { PolicyName } from "./policies";

/** The progress of one policy's run. */
export interface ExperimentProgress {
    /** The policy under test. */
    policy: PolicyName;
    /** The offered load of the run. */
    load: number;
    /** The time since the run's start, in seconds. */
    elapsedSeconds: number;
    /** The length of the run with its warm-up, in seconds. */
    totalSeconds: number;
    /** The number of requests sent so far. */
    sent: number;
    /** The number of sent requests that have ended, in whatever way. */
    ended: number;
}
