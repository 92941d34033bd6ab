/*
 * Whether a workspace is in excess among those that wait.
 */
import { getWorkspace } from "./getWorkspace";
import { QueueDemand } from "./QueueDemand";

/**
 * Returns whether the workspace of a request has more work waiting than the mean of the workspaces that wait.
 * @param demand - The request.
 * @param waiting - The requests that wait.
 */
export function isOverShare(demand: QueueDemand, waiting: readonly QueueDemand[]): boolean {
    const workspaces = new Set([getWorkspace(demand), ...waiting.map(getWorkspace)]);
    const totalWork = getWork(waiting);
    const ownWork = getWork(waiting.filter(other => getWorkspace(other) === getWorkspace(demand)));
    return ownWork * workspaces.size > totalWork;
}

function getWork(demands: readonly QueueDemand[]): number {
    return demands.reduce((sum, { work = 1 }) => sum + work, 0);
}
