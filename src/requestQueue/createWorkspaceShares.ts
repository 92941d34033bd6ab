/*
 * Gives each workspace that waits an equal share of the starts, by start-time fair queueing: each start advances its
 * workspace's virtual time by the work of the request, and the workspace with the earliest time is next. A workspace that
 * begins to wait starts at the time of the others, so that it can't save up shares. The priority of workspaces decides
 * between equal times only: a share does not depend on it.
 */
import { getWorkspace } from "./getWorkspace";
import { QueueDemand } from "./QueueDemand";
import { WorkspaceShares } from "./WorkspaceShares";

/** Creates the shares of an empty queue. */
export function createWorkspaceShares(): WorkspaceShares {
    /** The virtual time at which each workspace's next request starts. */
    const times = new Map<string, number>();
    let currentTime = 0;
    return { choose, recordStart, reset };

    function choose(demands: readonly QueueDemand[]): string {
        const [first, ...others] = demands;
        return getWorkspace(others.reduce((best, demand) => isBefore(demand, best) ? demand : best, first!));
    }

    function isBefore(demand: QueueDemand, other: QueueDemand): boolean {
        const difference = getTime(demand) - getTime(other);
        return difference < 0
            || difference === 0
                && (demand.requestClass?.workspacePriority ?? 0) < (other.requestClass?.workspacePriority ?? 0);
    }

    function getTime(demand: QueueDemand): number {
        return Math.max(currentTime, times.get(getWorkspace(demand)) ?? 0);
    }

    function recordStart(demand: QueueDemand): void {
        currentTime = getTime(demand);
        times.set(getWorkspace(demand), currentTime + (demand.work ?? 1));
    }

    function reset(): void {
        times.clear();
        currentTime = 0;
    }
}
