/*
 * Totals of the waiting work, updated as requests are added and removed, so that predictions need not iterate over the
 * queue. Work is also summed by request length, in buckets whose bounds double.
 */
import { QueuedRequest } from "./QueuedRequest";
import { WaitingWork } from "./WaitingWork";

const bucketCount = 24;

interface FlowWork {
    count: number;
    weight: number;
    milliseconds: number;
}

interface WorkspaceWork extends FlowWork {
    subscribers: Map<string, FlowWork>;
    subscriberWeights: number;
}

/** Creates totals of 0. */
export function createWaitingWork(): WaitingWork {
    const buckets = new Float64Array(bucketCount);
    const workspaces = new Map<string, WorkspaceWork>();
    const countedMilliseconds = new Map<QueuedRequest, number>();
    let totalMilliseconds = 0;
    let workspaceWeights = 0;
    return {
        add,
        remove,
        getTotalMilliseconds: () => Math.max(0, totalMilliseconds),
        getShorterMilliseconds,
        getSubscriberMilliseconds,
        getWorkspaceMilliseconds: workspace => workspaces.get(workspace)?.milliseconds ?? 0,
        getWorkspaceWeights: () => workspaceWeights,
        getSubscriberWeights: workspace => workspaces.get(workspace)?.subscriberWeights ?? 0,
    };

    function add(waiting: QueuedRequest): void {
        const milliseconds = waiting.chargeMilliseconds;
        countedMilliseconds.set(waiting, milliseconds);
        totalMilliseconds += milliseconds;
        buckets[getBucketIndex(milliseconds)]! += milliseconds;
        const workspace = getOrAddWorkspace(waiting);
        addToFlow(workspace, milliseconds);
        addToFlow(getOrAddSubscriber(workspace, waiting), milliseconds);
    }

    function remove(waiting: QueuedRequest): void {
        const milliseconds = countedMilliseconds.get(waiting);
        if (milliseconds === undefined) {
            return;
        }
        countedMilliseconds.delete(waiting);
        totalMilliseconds -= milliseconds;
        buckets[getBucketIndex(milliseconds)]! -= milliseconds;
        const workspace = workspaces.get(waiting.workspace)!;
        const subscriber = workspace.subscribers.get(waiting.subscriber)!;
        addToFlow(workspace, -milliseconds, -1);
        addToFlow(subscriber, -milliseconds, -1);
        if (subscriber.count === 0) {
            workspace.subscribers.delete(waiting.subscriber);
            workspace.subscriberWeights -= subscriber.weight;
        }
        if (workspace.count === 0) {
            workspaces.delete(waiting.workspace);
            workspaceWeights -= workspace.weight;
        }
    }

    function getShorterMilliseconds(chargeMilliseconds: number): number {
        const ownBucket = getBucketIndex(chargeMilliseconds);
        let sum = 0;
        for (let bucket = 0; bucket <= ownBucket; bucket++) {
            sum += buckets[bucket]!;
        }
        return Math.max(0, sum);
    }

    function getSubscriberMilliseconds(workspace: string, subscriber: string): number {
        return workspaces.get(workspace)?.subscribers.get(subscriber)?.milliseconds ?? 0;
    }

    function getOrAddWorkspace(waiting: QueuedRequest): WorkspaceWork {
        const existing = workspaces.get(waiting.workspace);
        if (existing !== undefined) {
            return existing;
        }
        const weight = waiting.workspaceShareWeight;
        const added = { count: 0, weight, milliseconds: 0, subscribers: new Map(), subscriberWeights: 0 };
        workspaces.set(waiting.workspace, added);
        workspaceWeights += weight;
        return added;
    }

    function getOrAddSubscriber(workspace: WorkspaceWork, waiting: QueuedRequest): FlowWork {
        const existing = workspace.subscribers.get(waiting.subscriber);
        if (existing !== undefined) {
            return existing;
        }
        const added = { count: 0, weight: waiting.subscriberShareWeight, milliseconds: 0 };
        workspace.subscribers.set(waiting.subscriber, added);
        workspace.subscriberWeights += added.weight;
        return added;
    }
}

/** Adds work to a flow; negative values subtract it. */
function addToFlow(flow: FlowWork, milliseconds: number, count = 1): void {
    flow.count += count;
    flow.milliseconds += milliseconds;
}

/** Gets the index of the bucket for a length. */
function getBucketIndex(milliseconds: number): number {
    return Math.min(bucketCount - 1, Math.ceil(Math.log2(Math.max(1, milliseconds))));
}
