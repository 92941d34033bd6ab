/*
 * What the supervision of background tasks depends on.
 */
import { Logger } from "../logging";
import { Metrics } from "../metrics";
import { Clock } from "../runtime";

/** What the supervision of a background task depends on. */
export interface TaskContext {
    /** The clock by which a failed task waits before it starts again. */
    clock: Clock;
    /** Logs each failure with its stack. */
    logger: Logger;
    /** Counts failures by task. */
    metrics: Pick<Metrics, "countTaskFailure">;
    /** Keeps a failed task from being started again. */
    signal?: AbortSignal;
}
