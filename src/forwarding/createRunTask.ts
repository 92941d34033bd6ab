/*
 * Creates the tasks of a request's runs, which share the request, its counts and the backend servers that were tried.
 */
import { ForwardingTask } from "./ForwardingTask";
import { getHedgeSoftwareVersion } from "./getHedgeSoftwareVersion";

/**
 * Creates the task of the first run.
 * @param task - The request.
 * @param signal - Ends the run.
 */
export function createRunTask(task: ForwardingTask, signal: AbortSignal): ForwardingTask {
    return { ...task, signal };
}

/**
 * Creates the task of a run beside another one, for which a retry has been taken.
 * @param task - The task of the other run.
 * @param signal - Ends the new run.
 */
createRunTask.createHedge = (task: ForwardingTask, signal: AbortSignal): ForwardingTask => ({
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
});
