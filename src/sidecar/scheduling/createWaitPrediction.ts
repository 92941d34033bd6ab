/*
 * Predicts waits from what is in progress and from the work that would go first: the fair queue lets another flow pass
 * by at most about the request's own length, and the request's own flow by what it has waiting.
 */
import { CostModel } from "./CostModel";
import { FairQueue } from "./FairQueue";
import { PrefillSlots } from "./PrefillSlots";
import { QueuedRequest } from "./QueuedRequest";
import { WaitingWork } from "./WaitingWork";
import { WaitPrediction } from "./WaitPrediction";

/** The options of a wait prediction. */
interface WaitPredictionOptions {
    fairQueue: FairQueue<QueuedRequest>;
    prefillSlots: PrefillSlots;
    waitingWork: WaitingWork;
    costModel: CostModel;
    maximumRunning: number;
    getRunningCount: () => number;
}

/** Creates a prediction of waits. */
export function createWaitPrediction(options: WaitPredictionOptions): WaitPrediction {
    const { fairQueue, prefillSlots, waitingWork, costModel, maximumRunning, getRunningCount } = options;
    return { getWaitMilliseconds };

    function getWaitMilliseconds(request: QueuedRequest): number {
        const aheadMilliseconds = getWorkAhead(request);
        const holdUpMilliseconds = prefillSlots.getHoldUpMilliseconds(request.lane);
        return holdUpMilliseconds + Math.max(aheadMilliseconds, getPlaceWait(aheadMilliseconds));
    }

    /** Gets the waiting work that would go before a request, in milliseconds. */
    function getWorkAhead(request: QueuedRequest): number {
        if (fairQueue.getSize() === 0) {
            return 0;
        }
        const { workspaceShareWeight, subscriberShareWeight, workspace, subscriber } = request;
        const workspaceWeights = waitingWork.getWorkspaceWeights();
        const subscriberWeights = Math.max(waitingWork.getSubscriberWeights(workspace), subscriberShareWeight);
        const flows = (workspaceWeights / workspaceShareWeight) * (subscriberWeights / subscriberShareWeight);
        const passing = request.orderMilliseconds * flows;
        const ownWork = waitingWork.getSubscriberMilliseconds(workspace, subscriber) * Math.max(1, flows);
        return Math.min(waitingWork.getShorterMilliseconds(request.orderMilliseconds), Math.max(passing, ownWork));
    }

    /** Gets the wait for a place among those that run, where all are taken, in milliseconds. */
    function getPlaceWait(aheadMilliseconds: number): number {
        if (getRunningCount() < maximumRunning) {
            return 0;
        }
        const total = waitingWork.getTotalMilliseconds();
        const shareAhead = total > 0 ? aheadMilliseconds / total : 0;
        const placesAhead = 1 + fairQueue.getSize() * shareAhead;
        return placesAhead * costModel.getHoldMilliseconds() / maximumRunning;
    }
}
