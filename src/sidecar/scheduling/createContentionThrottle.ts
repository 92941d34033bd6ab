/*
 * Proportional throttling. Without contention, one flow may have all of the waiting work. As contention grows, the
 * share that it may have decreases linearly to its fair share. A fixed limit would either slow down a heavy subscriber
 * on an idle engine or let it fill the queue of a busy one.
 */
import { ContentionThrottle } from "./ContentionThrottle";
import { QueuedRequest } from "./QueuedRequest";
import { WaitingWork } from "./WaitingWork";

/** The options of a contention throttle. */
interface ContentionThrottleOptions {
    /** The totals of the waiting work. */
    waitingWork: WaitingWork;
    /** The waiting work above which there is contention, in milliseconds. */
    minimumContentionMilliseconds: number;
    /** The waiting work at which contention is full, in milliseconds. */
    fullContentionMilliseconds: number;
}

/** Creates a contention throttle. */
export function createContentionThrottle(options: ContentionThrottleOptions): ContentionThrottle {
    const { waitingWork, minimumContentionMilliseconds, fullContentionMilliseconds } = options;
    return { getBackoffMilliseconds };

    function getBackoffMilliseconds(request: QueuedRequest, queueFillRatio: number): number {
        const subscriberMilliseconds = waitingWork.getSubscriberMilliseconds(request.workspace, request.subscriber);
        if (subscriberMilliseconds === 0) {
            return 0;
        }
        const fairShare = getFairShare(request);
        const allowedShare = 1 - getContention(queueFillRatio) * (1 - fairShare);
        const totalMilliseconds = waitingWork.getTotalMilliseconds() + request.chargeMilliseconds;
        const excessMilliseconds = subscriberMilliseconds + request.chargeMilliseconds
            - allowedShare * totalMilliseconds;
        return excessMilliseconds <= 0 || fairShare === 1 ? 0 : excessMilliseconds / fairShare;
    }

    /** Gets the contention, from 0 to 1: by the amount of waiting work or by the fill ratio of the queue. */
    function getContention(queueFillRatio: number): number {
        const rangeMilliseconds = fullContentionMilliseconds - minimumContentionMilliseconds;
        const workContention = (waitingWork.getTotalMilliseconds() - minimumContentionMilliseconds) / rangeMilliseconds;
        return Math.min(1, Math.max(0, workContention, queueFillRatio));
    }

    /** Gets a subscriber's fair share among the flows that have waiting work. */
    function getFairShare(request: QueuedRequest): number {
        const workspaceWeights = waitingWork.getWorkspaceWeights();
        const subscriberWeights = waitingWork.getSubscriberWeights(request.workspace);
        const workspaceShare = request.workspaceShareWeight / Math.max(workspaceWeights, request.workspaceShareWeight);
        const subscriberShare = request.subscriberShareWeight
            / Math.max(subscriberWeights, request.subscriberShareWeight);
        return workspaceShare * subscriberShare;
    }
}
