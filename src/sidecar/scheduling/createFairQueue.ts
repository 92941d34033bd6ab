/*
 * Self-clocked fair queueing in two levels. A flow's virtual start grows by what it is charged over its weight; the
 * flow goes first whose next item would finish first in virtual time. Short items of a flow that asks for little so
 * pass long ones, and a long one is passed by no more than its own charge of each other flow, so that nothing starves.
 * The virtual time of a level is the latest virtual finish served; a flow that returns starts from there.
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
    virtualStart: number;
    virtualFinishByLane: number[];
    waitingCount: number;
}

interface SubscriberFlow<T> extends Flow {
    itemHeaps: (IndexedHeap<T> | undefined)[];
}

interface WorkspaceFlow<T> extends Flow {
    virtualTime: number;
    subscribers: Map<string, SubscriberFlow<T>>;
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

    /** Moves on the virtual starts of a workspace and its subscriber, and their places in the order. */
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

    /** Puts a subscriber in its place in a lane of its workspace. */
    function updateSubscriberPosition(workspace: WorkspaceFlow<T>, subscriber: SubscriberFlow<T>, lane: Lane): void {
        updateFlowPosition(workspace.subscriberHeaps, subscriber, lane, subscriber.itemHeaps[lane]?.getFirst());
    }

    /** Puts a workspace in its place in a lane. */
    function updateWorkspacePosition(workspace: WorkspaceFlow<T>, lane: Lane): void {
        const next = workspace.subscriberHeaps[lane]?.getFirst()?.itemHeaps[lane]?.getFirst();
        updateFlowPosition(workspaceHeaps, workspace, lane, next);
    }

    /** Gets an item's workspace, from the virtual time on where it was idle. */
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

    /** Gets an item's subscriber, from its workspace's virtual time on where it was idle. */
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

    /** Counts items in and out. */
    function changeWaitingCounts(workspace: WorkspaceFlow<T>, subscriber: SubscriberFlow<T>, change: 1 | -1): void {
        const wasWaiting = workspace.waitingCount > 0;
        size += change;
        workspace.waitingCount += change;
        subscriber.waitingCount += change;
        waitingWorkspaceCount += Number(workspace.waitingCount > 0) - Number(wasWaiting);
    }

    /** Forgets what waits for nothing where there are many; flows that stay are quick to come back. */
    function removeIdleFlows(workspace: WorkspaceFlow<T>): void {
        if (workspaces.size > maximumIdleFlows && workspace.waitingCount === 0) {
            deleteIdleFlows(workspaces, virtualTime);
        }
        if (workspace.subscribers.size > maximumIdleFlows) {
            deleteIdleFlows(workspace.subscribers, workspace.virtualTime);
        }
    }
}

/** Forgets the flows that wait for nothing and are not ahead of the virtual time. */
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

/** Puts a flow in its place by its next item in a lane, or takes it out where it has none. */
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

/** Orders a subscriber's own items: shorter ones first, but by age in the long run. */
function isItemBefore(left: FairQueueItem, right: FairQueueItem): boolean {
    return getItemSortKey(left) < getItemSortKey(right);
}

/** Gets the place of an item among its subscriber's. */
function getItemSortKey(item: FairQueueItem): number {
    return item.arrivalMilliseconds + chargeFactorWithinSubscriber * item.weightedChargeMilliseconds;
}
