/*
 * The work that is started before a request: that of its own workspace that is at least as urgent, and of each other
 * workspace no more than as much, since their shares are equal.
 */
import { getWorkspace } from "./getWorkspace";
import { QueueDemand } from "./QueueDemand";

/**
 * Gets the work that is started before a request.
 * @param demand - The request.
 * @param waiting - The requests that wait and arrived before it, and all of other workspaces.
 */
export function getWorkAhead(demand: QueueDemand, waiting: readonly QueueDemand[]): number {
    const workspace = getWorkspace(demand);
    const priority = demand.requestClass?.routePriority ?? 0;
    const othersWork = new Map<string, number>();
    let ownWork = 0;
    for (const other of waiting) {
        const { work = 1, requestClass } = other;
        const otherWorkspace = getWorkspace(other);
        if (otherWorkspace !== workspace) {
            othersWork.set(otherWorkspace, (othersWork.get(otherWorkspace) ?? 0) + work);
        }
        else if ((requestClass?.routePriority ?? 0) <= priority) {
            ownWork += work;
        }
    }
    const ownShare = ownWork + (demand.work ?? 1);
    return [...othersWork.values()].reduce((sum, work) => sum + Math.min(work, ownShare), ownWork);
}
