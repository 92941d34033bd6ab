/*
 * Self-clocked fair queueing in two levels. A flow's virtual start grows by what it is charged over its weight; the
 * flow goes first whose next item would finish first in virtual time. Short items of a flow that asks for little so
 * pass long ones, and a long one is passed by no more than its own charge of each other flow, so that nothing starves.
 * The virtual time of a level is the latest virtual finish served; a flow that returns starts from there.
 */
import { createIndexedHeap } from "./createIndexedHeap";
import { FairItem } from "./FairItem";
import { FairQueue } from "./FairQueue";
import { IndexedHeap } from "./IndexedHeap";
import { Lane } from "./Lane";
import { lanes } from "./lanes";

const leastWeight = 0.001;
const orderShareWithinSubscriber = 4;
const maximumIdleFlows = 4_096;

interface Flow {
    name: string;
    weight: number;
    virtualStart: number;
    virtualFinish: number[];
    waiting: number;
}

interface SubscriberFlow<T> extends Flow {
    items: (IndexedHeap<T> | undefined)[];
}

interface WorkspaceFlow<T> extends Flow {
    virtualTime: number;
    subscribers: Map<string, SubscriberFlow<T>>;
    ordered: (IndexedHeap<SubscriberFlow<T>> | undefined)[];
}

/** Creates an empty queue. */
export function createFairQueue<T extends FairItem>(): FairQueue<T> {
    const workspaces = new Map<string, WorkspaceFlow<T>>();
    const ordered: (IndexedHeap<WorkspaceFlow<T>> | undefined)[] = [];
    let virtualTime = 0;
    let size = 0;
    let waitingWorkspaces = 0;
    return {
        addItem,
        removeItem,
        getNext,
        getNextLane,
        takeNext,
        correctCharge,
        getSize: () => size,
        getWaitingWorkspaces: () => waitingWorkspaces,
        getFlowCount: () => workspaces.size,
    };

    function addItem(item: T): void {
        const workspace = getOrAddWorkspace(item);
        const subscriber = getOrAddSubscriber(workspace, item);
        subscriber.items[item.lane] ??= createIndexedHeap<T>(isItemBefore);
        subscriber.items[item.lane]!.setMember(item);
        changeWaiting(workspace, subscriber, 1);
        refreshSubscriber(workspace, subscriber, item.lane);
        refreshWorkspace(workspace, item.lane);
    }

    function removeItem(item: T): boolean {
        const workspace = workspaces.get(item.workspace);
        const subscriber = workspace?.subscribers.get(item.subscriber);
        if (workspace === undefined || !subscriber?.items[item.lane]?.removeMember(item)) {
            return false;
        }
        changeWaiting(workspace, subscriber, -1);
        refreshSubscriber(workspace, subscriber, item.lane);
        refreshWorkspace(workspace, item.lane);
        forgetIdle(workspace);
        return true;
    }

    function getNext(lane: Lane): T | undefined {
        return ordered[lane]?.getFirst()?.ordered[lane]?.getFirst()?.items[lane]?.getFirst();
    }

    function getNextLane(lastLane: Lane): Lane | undefined {
        let best: Lane | undefined;
        let bestFinish = Infinity;
        for (const lane of lanes) {
            const finish = ordered[lane]?.getFirst()?.virtualFinish[lane] ?? Infinity;
            if (lane <= lastLane && finish < bestFinish) {
                best = lane;
                bestFinish = finish;
            }
        }
        return best;
    }

    function takeNext(lane: Lane): T | undefined {
        const workspace = ordered[lane]?.getFirst();
        const subscriber = workspace?.ordered[lane]?.getFirst();
        const item = subscriber?.items[lane]?.getFirst();
        if (workspace === undefined || subscriber === undefined || item === undefined) {
            return undefined;
        }
        subscriber.items[lane]?.removeMember(item);
        changeWaiting(workspace, subscriber, -1);
        addCharge(workspace, subscriber, item.chargeMilliseconds);
        workspace.virtualTime = Math.max(workspace.virtualTime, subscriber.virtualStart);
        virtualTime = Math.max(virtualTime, workspace.virtualStart);
        forgetIdle(workspace);
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
            lanes.forEach(lane => refreshSubscriber(workspace, subscriber, lane));
        }
        lanes.forEach(lane => refreshWorkspace(workspace, lane));
    }

    /** Puts a subscriber in its place in a lane of its workspace. */
    function refreshSubscriber(workspace: WorkspaceFlow<T>, subscriber: SubscriberFlow<T>, lane: Lane): void {
        placeFlow(workspace.ordered, subscriber, lane, subscriber.items[lane]?.getFirst());
    }

    /** Puts a workspace in its place in a lane. */
    function refreshWorkspace(workspace: WorkspaceFlow<T>, lane: Lane): void {
        const next = workspace.ordered[lane]?.getFirst()?.items[lane]?.getFirst();
        placeFlow(ordered, workspace, lane, next);
    }

    /** Gets an item's workspace, from the virtual time on where it was idle. */
    function getOrAddWorkspace(item: T): WorkspaceFlow<T> {
        let workspace = workspaces.get(item.workspace);
        if (workspace === undefined) {
            workspace = {
                ...createFlow(item.workspace),
                virtualTime: 0,
                subscribers: new Map(),
                ordered: [],
            };
            workspaces.set(item.workspace, workspace);
        }
        if (workspace.waiting === 0) {
            workspace.virtualStart = Math.max(workspace.virtualStart, virtualTime);
        }
        workspace.weight = Math.max(leastWeight, item.workspaceShareWeight);
        return workspace;
    }

    /** Gets an item's subscriber, from its workspace's virtual time on where it was idle. */
    function getOrAddSubscriber(workspace: WorkspaceFlow<T>, item: T): SubscriberFlow<T> {
        let subscriber = workspace.subscribers.get(item.subscriber);
        if (subscriber === undefined) {
            subscriber = {
                ...createFlow(item.subscriber),
                items: [],
            };
            workspace.subscribers.set(item.subscriber, subscriber);
        }
        if (subscriber.waiting === 0) {
            subscriber.virtualStart = Math.max(subscriber.virtualStart, workspace.virtualTime);
        }
        subscriber.weight = Math.max(leastWeight, item.subscriberShareWeight);
        return subscriber;
    }

    /** Counts items in and out. */
    function changeWaiting(workspace: WorkspaceFlow<T>, subscriber: SubscriberFlow<T>, change: 1 | -1): void {
        const wasWaiting = workspace.waiting > 0;
        size += change;
        workspace.waiting += change;
        subscriber.waiting += change;
        waitingWorkspaces += Number(workspace.waiting > 0) - Number(wasWaiting);
    }

    /** Forgets what waits for nothing where there are many; flows that stay are quick to come back. */
    function forgetIdle(workspace: WorkspaceFlow<T>): void {
        if (workspaces.size > maximumIdleFlows && workspace.waiting === 0) {
            forgetWaitless(workspaces, virtualTime);
        }
        if (workspace.subscribers.size > maximumIdleFlows) {
            forgetWaitless(workspace.subscribers, workspace.virtualTime);
        }
    }
}

/** Forgets the flows that wait for nothing and are not ahead of the virtual time. */
function forgetWaitless(flows: Map<string, Flow>, virtualTime: number): void {
    for (const [name, flow] of flows) {
        if (flow.waiting === 0 && flow.virtualStart <= virtualTime) {
            flows.delete(name);
        }
    }
}

/** Creates a flow without items. */
function createFlow(name: string): Flow {
    return { name, weight: 1, virtualStart: 0, virtualFinish: lanes.map(() => 0), waiting: 0 };
}

/** Puts a flow in its place by its next item in a lane, or takes it out where it has none. */
function placeFlow<F extends Flow>(
    heaps: (IndexedHeap<F> | undefined)[],
    flow: F,
    lane: Lane,
    next: FairItem | undefined,
): void {
    if (next === undefined) {
        heaps[lane]?.removeMember(flow);
        return;
    }
    flow.virtualFinish[lane] = flow.virtualStart + next.orderMilliseconds / flow.weight;
    heaps[lane] ??= createIndexedHeap<F>((left, right) => left.virtualFinish[lane]! < right.virtualFinish[lane]!);
    heaps[lane].setMember(flow);
}

/** Orders a subscriber's own items: shorter ones first, but by age in the long run. */
function isItemBefore(left: FairItem, right: FairItem): boolean {
    return getItemOrder(left) < getItemOrder(right);
}

/** Gets the place of an item among its subscriber's. */
function getItemOrder(item: FairItem): number {
    return item.arrivalMilliseconds + orderShareWithinSubscriber * item.orderMilliseconds;
}
