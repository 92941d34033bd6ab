/*
 * Predicts waiting times from the prefills in progress and from the waiting work that would be served first. In the
 * fair queue, each other flow overtakes a request by at most about the request's own length, and the request's own flow
 * by all of its waiting work.
 */
import { CostModel } from "./CostModel";
import { FairQueue } from "./FairQueue";
import { PrefillLimiter } from "./PrefillLimiter";
import { QueuedRequest } from "./QueuedRequest";
import { WaitingWork } from "./WaitingWork";
import { WaitPredictor } from "./WaitPredictor";

/** The options of a wait predictor. */
interface WaitPredictorOptions {
    /** The waiting requests. */
    fairQueue: FairQueue<QueuedRequest>;
    /** The prefills in progress. */
    prefillLimiter: PrefillLimiter;
    /** The totals of the waiting work. */
    waitingWork: WaitingWork;
    /** The cost model of the backend server. */
    costModel: CostModel;
    /** The number of requests that may run at the same time at the backend server. */
    maximumRunning: number;
    /** Gets the number of running requests. */
    getRunningCount: () => number;
}

/** Creates the wait predictor of one backend server. */
export function createWaitPredictor(options: WaitPredictorOptions): WaitPredictor {
    const { fairQueue, prefillLimiter, waitingWork, costModel, maximumRunning, getRunningCount } = options;
    return { getWaitMilliseconds };

    function getWaitMilliseconds(request: QueuedRequest): number {
        const aheadMilliseconds = getWorkAheadMilliseconds(request);
        const delayMilliseconds = prefillLimiter.getDelayMilliseconds(request.lane);
        return delayMilliseconds + Math.max(aheadMilliseconds, getSlotWaitMilliseconds(aheadMilliseconds));
    }

    /** Gets the waiting work that would be served before a request, in milliseconds. */
    function getWorkAheadMilliseconds(request: QueuedRequest): number {
        if (fairQueue.getSize() === 0) {
            return 0;
        }
        const { workspaceShareWeight, subscriberShareWeight, workspace, subscriber } = request;
        const workspaceWeights = waitingWork.getWorkspaceWeights();
        const subscriberWeights = Math.max(waitingWork.getSubscriberWeights(workspace), subscriberShareWeight);
        const flowCount = (workspaceWeights / workspaceShareWeight) * (subscriberWeights / subscriberShareWeight);
        const otherFlowsMilliseconds = request.weightedChargeMilliseconds * flowCount;
        const ownFlowMilliseconds = waitingWork.getSubscriberMilliseconds(workspace, subscriber)
            * Math.max(1, flowCount);
        return Math.min(
            waitingWork.getShorterMilliseconds(request.weightedChargeMilliseconds),
            Math.max(otherFlowsMilliseconds, ownFlowMilliseconds),
        );
    }

    /** Gets the wait for a free slot, in milliseconds; 0 if there is one. */
    function getSlotWaitMilliseconds(aheadMilliseconds: number): number {
        if (getRunningCount() < maximumRunning) {
            return 0;
        }
        const totalMilliseconds = waitingWork.getTotalMilliseconds();
        const shareAhead = totalMilliseconds > 0 ? aheadMilliseconds / totalMilliseconds : 0;
        const slotsAhead = 1 + fairQueue.getSize() * shareAhead;
        return slotsAhead * costModel.getAverageRunMilliseconds() / maximumRunning;
    }
}
