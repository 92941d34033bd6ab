/*
 * Predicts waits from what is in progress and from the work that would go first: the fair queue lets another flow pass
 * by at most about the request's own length, and the request's own flow by what it has waiting.
 */
import { CostModel } from "./CostModel";
import { FairQueue } from "./FairQueue";
import { PrefillLimiter } from "./PrefillLimiter";
import { QueuedRequest } from "./QueuedRequest";
import { WaitingWork } from "./WaitingWork";
import { WaitPredictor } from "./WaitPredictor";

/** The options of a wait prediction. */
interface WaitPredictorOptions {
    fairQueue: FairQueue<QueuedRequest>;
    prefillLimiter: PrefillLimiter;
    waitingWork: WaitingWork;
    costModel: CostModel;
    maximumRunning: number;
    getRunningCount: () => number;
}

/** Creates a prediction of waits. */
export function createWaitPredictor(options: WaitPredictorOptions): WaitPredictor {
    const { fairQueue, prefillLimiter, waitingWork, costModel, maximumRunning, getRunningCount } = options;
    return { getWaitMilliseconds };

    function getWaitMilliseconds(request: QueuedRequest): number {
        const aheadMilliseconds = getWorkAheadMilliseconds(request);
        const delayMilliseconds = prefillLimiter.getDelayMilliseconds(request.lane);
        return delayMilliseconds + Math.max(aheadMilliseconds, getSlotWaitMilliseconds(aheadMilliseconds));
    }

    /** Gets the waiting work that would go before a request, in milliseconds. */
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

    /** Gets the wait for a place among those that run, where all are taken, in milliseconds. */
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
