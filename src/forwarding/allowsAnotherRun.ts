/*
 * Decides whether a request that may have run may be sent again.
 */
import { CrashQuarantine } from "../crashQuarantine";
import { RouteKind } from "../documents";
import { ForwardingTask } from "./ForwardingTask";

/**
 * Returns whether a request may be sent once more, after or beside the attempts that it has had.
 * @param task - The request.
 * @param crashQuarantine - Tells which requests are suspected of crashing backend servers.
 */
export function allowsAnotherRun(
    task: ForwardingTask,
    crashQuarantine: Pick<CrashQuarantine, "isSuspected">,
): boolean {
    const { route } = task.admission;
    const isIdempotent = route.kind === RouteKind.Idempotent
        || route.kind === RouteKind.Stream && route.isResumable;
    const isSuspected = crashQuarantine.isSuspected(task.subjects);
    return isIdempotent && !isSuspected && !task.signal.aborted
        && task.counts.run < route.maximumAttempts;
}
