/*
 * Self-clocked fair queueing in two levels. The virtual start of a flow grows by its charges divided by its weight. The
 * flow whose next item would finish first in virtual time is served first. Short items of a flow with little demand
 * thus overtake long ones, and a long item is overtaken by no more work of each other flow than its own charge, so
 * nothing starves. The virtual time of a level is the latest virtual finish served; a flow that was idle restarts from
 * there.
 */
import { createIndexedHeap } from "./createIndexedHeap";
import { FairQueue } from "./FairQueue";
import { FairQueueItem } from "./FairQueueItem";
import { IndexedHeap } from "./IndexedHeap";
import { Lane } from "./Lane";
import { lanes } from "./lanes";

const minimumWeight = 0.001;
const chargeFactorWithinSubscriber = 4;
const maximumIdleFlows = 4_096;

interface Flow {
    name: string;
    weight: number;
    /** The virtual time at which the flow's next item would start. */
    virtualStart: number;
    /** The virtual time at which the next item of each lane would finish. */
    virtualFinishByLane: number[];
    /** The number of waiting items. */
    waitingCount: number;
}

interface SubscriberFlow<T> extends Flow {
    /** The waiting items of each lane. */
    itemHeaps: (IndexedHeap<T> | undefined)[];
}

interface WorkspaceFlow<T> extends Flow {
    /** The virtual time among the workspace's subscribers. */
    virtualTime: number;
    subscribers: Map<string, SubscriberFlow<T>>;
    /** The subscribers with waiting items of each lane, by virtual finish. */
    subscriberHeaps: (IndexedHeap<SubscriberFlow<T>> | undefined)[];
}

/** Creates an empty queue. */
export function createFairQueue<T extends FairQueueItem>(): FairQueue<T> {
    const workspaces = new Map<string, WorkspaceFlow<T>>();
    const workspaceHeaps: (IndexedHeap<WorkspaceFlow<T>> | undefined)[] = [];
    let virtualTime = 0;
    let size = 0;
    let waitingWorkspaceCount = 0;
    return {
        addItem,
        removeItem,
        getNextItem,
        getNextLane,
        takeNextItem,
        correctCharge,
        getSize: () => size,
        getWaitingWorkspaceCount: () => waitingWorkspaceCount,
        getWorkspaceCount: () => workspaces.size,
    };

    function addItem(item: T): void {
        const workspace = getOrAddWorkspace(item);
        const subscriber = getOrAddSubscriber(workspace, item);
        subscriber.itemHeaps[item.lane] ??= createIndexedHeap<T>(isItemBefore);
        subscriber.itemHeaps[item.lane]!.addOrMoveMember(item);
        changeWaitingCounts(workspace, subscriber, 1);
        updateSubscriberPosition(workspace, subscriber, item.lane);
        updateWorkspacePosition(workspace, item.lane);
    }

    function removeItem(item: T): boolean {
        const workspace = workspaces.get(item.workspace);
        const subscriber = workspace?.subscribers.get(item.subscriber);
        if (workspace === undefined || !subscriber?.itemHeaps[item.lane]?.removeMember(item)) {
            return false;
        }
        changeWaitingCounts(workspace, subscriber, -1);
        updateSubscriberPosition(workspace, subscriber, item.lane);
        updateWorkspacePosition(workspace, item.lane);
        removeIdleFlows(workspace);
        return true;
    }

    function getNextItem(lane: Lane): T | undefined {
        return workspaceHeaps[lane]?.getFirst()?.subscriberHeaps[lane]?.getFirst()?.itemHeaps[lane]?.getFirst();
    }

    function getNextLane(leastUrgentLane: Lane): Lane | undefined {
        let bestLane: Lane | undefined;
        let bestFinish = Infinity;
        for (const lane of lanes) {
            const finish = workspaceHeaps[lane]?.getFirst()?.virtualFinishByLane[lane] ?? Infinity;
            if (lane <= leastUrgentLane && finish < bestFinish) {
                bestLane = lane;
                bestFinish = finish;
            }
        }
        return bestLane;
    }

    function takeNextItem(lane: Lane): T | undefined {
        const workspace = workspaceHeaps[lane]?.getFirst();
        const subscriber = workspace?.subscriberHeaps[lane]?.getFirst();
        const item = subscriber?.itemHeaps[lane]?.getFirst();
        if (workspace === undefined || subscriber === undefined || item === undefined) {
            return undefined;
        }
        subscriber.itemHeaps[lane]?.removeMember(item);
        changeWaitingCounts(workspace, subscriber, -1);
        addCharge(workspace, subscriber, item.chargeMilliseconds);
        workspace.virtualTime = Math.max(workspace.virtualTime, subscriber.virtualStart);
        virtualTime = Math.max(virtualTime, workspace.virtualStart);
        removeIdleFlows(workspace);
        return item;
    }

    function correctCharge(item: T, milliseconds: number): void {
        const workspace = workspaces.get(item.workspace);
        const subscriber = workspace?.subscribers.get(item.subscriber);
        if (workspace === undefined) {
            return;
        }
        addCharge(workspace, subscriber, milliseconds);
    }

    /** Advances the virtual starts of a workspace and its subscriber, and updates their positions. */
    function addCharge(
        workspace: WorkspaceFlow<T>,
        subscriber: SubscriberFlow<T> | undefined,
        milliseconds: number,
    ): void {
        workspace.virtualStart += milliseconds / workspace.weight;
        if (subscriber !== undefined) {
            subscriber.virtualStart += milliseconds / subscriber.weight;
            lanes.forEach(lane => updateSubscriberPosition(workspace, subscriber, lane));
        }
        lanes.forEach(lane => updateWorkspacePosition(workspace, lane));
    }

    /** Updates the position of a subscriber in a lane of its workspace. */
    function updateSubscriberPosition(workspace: WorkspaceFlow<T>, subscriber: SubscriberFlow<T>, lane: Lane): void {
        updateFlowPosition(workspace.subscriberHeaps, subscriber, lane, subscriber.itemHeaps[lane]?.getFirst());
    }

    /** Updates the position of a workspace in a lane. */
    function updateWorkspacePosition(workspace: WorkspaceFlow<T>, lane: Lane): void {
        const next = workspace.subscriberHeaps[lane]?.getFirst()?.itemHeaps[lane]?.getFirst();
        updateFlowPosition(workspaceHeaps, workspace, lane, next);
    }

    /** Gets an item's workspace; one that was idle starts no earlier than the current virtual time. */
    function getOrAddWorkspace(item: T): WorkspaceFlow<T> {
        let workspace = workspaces.get(item.workspace);
        if (workspace === undefined) {
            workspace = {
                ...createFlow(item.workspace),
                virtualTime: 0,
                subscribers: new Map(),
                subscriberHeaps: [],
            };
            workspaces.set(item.workspace, workspace);
        }
        if (workspace.waitingCount === 0) {
            workspace.virtualStart = Math.max(workspace.virtualStart, virtualTime);
        }
        workspace.weight = Math.max(minimumWeight, item.workspaceShareWeight);
        return workspace;
    }

    /** Gets an item's subscriber; one that was idle starts no earlier than its workspace's virtual time. */
    function getOrAddSubscriber(workspace: WorkspaceFlow<T>, item: T): SubscriberFlow<T> {
        let subscriber = workspace.subscribers.get(item.subscriber);
        if (subscriber === undefined) {
            subscriber = {
                ...createFlow(item.subscriber),
                itemHeaps: [],
            };
            workspace.subscribers.set(item.subscriber, subscriber);
        }
        if (subscriber.waitingCount === 0) {
            subscriber.virtualStart = Math.max(subscriber.virtualStart, workspace.virtualTime);
        }
        subscriber.weight = Math.max(minimumWeight, item.subscriberShareWeight);
        return subscriber;
    }

    /** Updates all counts of waiting items after an item was added or removed. */
    function changeWaitingCounts(workspace: WorkspaceFlow<T>, subscriber: SubscriberFlow<T>, change: 1 | -1): void {
        const wasWaiting = workspace.waitingCount > 0;
        size += change;
        workspace.waitingCount += change;
        subscriber.waitingCount += change;
        waitingWorkspaceCount += Number(workspace.waitingCount > 0) - Number(wasWaiting);
    }

    /** Removes idle flows once there are many; fewer are kept, so that they need not be created again. */
    function removeIdleFlows(workspace: WorkspaceFlow<T>): void {
        if (workspaces.size > maximumIdleFlows && workspace.waitingCount === 0) {
            deleteIdleFlows(workspaces, virtualTime);
        }
        if (workspace.subscribers.size > maximumIdleFlows) {
            deleteIdleFlows(workspace.subscribers, workspace.virtualTime);
        }
    }
}

/** Deletes the flows that have no waiting items and are not ahead of the virtual time. */
function deleteIdleFlows(flows: Map<string, Flow>, virtualTime: number): void {
    for (const [name, flow] of flows) {
        if (flow.waitingCount === 0 && flow.virtualStart <= virtualTime) {
            flows.delete(name);
        }
    }
}

/** Creates a flow without items. */
function createFlow(name: string): Flow {
    return { name, weight: 1, virtualStart: 0, virtualFinishByLane: lanes.map(() => 0), waitingCount: 0 };
}

/** Moves a flow to the position given by its next item in a lane, or removes it if it has none. */
function updateFlowPosition<F extends Flow>(
    heaps: (IndexedHeap<F> | undefined)[],
    flow: F,
    lane: Lane,
    next: FairQueueItem | undefined,
): void {
    if (next === undefined) {
        heaps[lane]?.removeMember(flow);
        return;
    }
    flow.virtualFinishByLane[lane] = flow.virtualStart + next.weightedChargeMilliseconds / flow.weight;
    heaps[lane] ??= createIndexedHeap<F>((left, right) =>
        left.virtualFinishByLane[lane]! < right.virtualFinishByLane[lane]!
    );
    heaps[lane].addOrMoveMember(flow);
}

/** Compares items of one subscriber: shorter ones first, unless the longer one is old enough. */
function isItemBefore(left: FairQueueItem, right: FairQueueItem): boolean {
    return getItemSortKey(left) < getItemSortKey(right);
}

/** Gets the sort key of an item among those of its subscriber. */
function getItemSortKey(item: FairQueueItem): number {
    return item.arrivalMilliseconds + chargeFactorWithinSubscriber * item.weightedChargeMilliseconds;
}
