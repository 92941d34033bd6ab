/*
 * Tracks starvation within workspaces. The work ahead of a request does not show it: where urgent requests arrive as fast as
 * the workspace's share allows, only a few of them wait at any time, and a less urgent one is never started.
 */
import { Clock } from "../runtime";
import { getPriority } from "./getPriority";
import { getWorkspace } from "./getWorkspace";
import { QueueDemand } from "./QueueDemand";
import { StarvationTimes } from "./StarvationTimes";

/** The requests of a workspace that wait without a pause. */
interface Backlog {
    beginMilliseconds: number;
    /** When a request of each priority was last started, on the monotonic clock, in milliseconds. */
    startMilliseconds: Map<number, number>;
}

/**
 * Creates the times of an empty queue.
 * @param clock - The clock.
 */
export function createStarvationTimes(clock: Clock): StarvationTimes {
    const backlogs = new Map<string, Backlog>();
    return {
        recordAdded,
        recordStart: demand =>
            void backlogs.get(getWorkspace(demand))?.startMilliseconds
                .set(getPriority(demand), clock.getMonotonicMilliseconds()),
        recordEmpty: workspace => void backlogs.delete(workspace),
        getMilliseconds,
    };

    function recordAdded(demand: QueueDemand): void {
        const workspace = getWorkspace(demand);
        if (!backlogs.has(workspace)) {
            backlogs.set(workspace, {
                beginMilliseconds: clock.getMonotonicMilliseconds(),
                startMilliseconds: new Map(),
            });
        }
    }

    function getMilliseconds(demand: QueueDemand): number {
        const backlog = backlogs.get(getWorkspace(demand));
        if (!backlog) {
            return 0;
        }
        const starts = [...backlog.startMilliseconds]
            .filter(([priority]) => priority >= getPriority(demand))
            .map(([, milliseconds]) => milliseconds);
        return clock.getMonotonicMilliseconds() - Math.max(backlog.beginMilliseconds, ...starts);
    }
}
