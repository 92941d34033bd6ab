/*
 * Creates the task of a second run of a request, which shares the request, its counts and the backend servers that were
 * tried with the first one.
 */
import { ForwardingTask } from "./ForwardingTask";
import { getHedgeSoftwareVersion } from "./getHedgeSoftwareVersion";

/**
 * Creates the task of a run beside a silent one, for which a retry has been taken.
 * @param task - The task of the silent run.
 * @param signal - Ends the new run.
 */
export function createHedgeTask(task: ForwardingTask, signal: AbortSignal): ForwardingTask {
    return {
        ...task,
        signal,
        runId: `${task.request.requestId} ${task.counts.sent}`,
        softwareVersion: getHedgeSoftwareVersion(task),
        prefillTokens: 0,
        placement: undefined,
        observedRun: undefined,
        attemptEnded: undefined,
        hasReservedRetry: true,
        isHedged: false,
    };
}
