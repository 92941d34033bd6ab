/*
 * Decides whether a request that may have run may be sent again.
 */
import { CrashQuarantine } from "../crashQuarantine";
import { RouteKind } from "../documents";
import { ForwardingTask } from "./ForwardingTask";

/**
 * Returns whether a request may be sent again after a number of additional runs.
 * @param task - The request.
 * @param crashQuarantine - Tells which requests are suspected of crashing backend servers.
 * @param additionalRuns - The number of runs besides those that are recorded.
 */
export function allowsAnotherRun(
    task: ForwardingTask,
    crashQuarantine: Pick<CrashQuarantine, "isSuspected">,
    additionalRuns: number,
): boolean {
    const { route } = task.admission;
    const isIdempotent = route.kind === RouteKind.Idempotent
        || route.kind === RouteKind.Stream && route.isResumable;
    const isSuspected = crashQuarantine.isSuspected(task.subjects);
    return isIdempotent && !isSuspected && !task.signal.aborted
        && task.runCount + additionalRuns < route.maximumAttempts;
}
