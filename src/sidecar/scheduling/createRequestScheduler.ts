/*
 * The scheduler of one backend server: admission by predicted cost and fair share, a fair queue in two levels,
 * coalesced prefills, and limits on the requests and prefills in progress. All decisions are made when a request
 * arrives, a first token is produced, a slot is released, a caller cancels or a deadline passes; there is no polling.
 */
import { RefusalReason } from "../../protocol";
import { RequestScheduler } from "../RequestScheduler";
import { RunningSlot } from "../RunningSlot";
import { ScheduledRequest } from "../ScheduledRequest";
import { ScheduleOutcome } from "../ScheduleOutcome";
import { createAdmissionController } from "./createAdmissionController";
import { createCostModel } from "./createCostModel";
import { createDeadlineTracker } from "./createDeadlineTracker";
import { createFairQueue } from "./createFairQueue";
import { createPrefillCoalescer } from "./createPrefillCoalescer";
import { createPrefillLimiter } from "./createPrefillLimiter";
import { createRefusal } from "./createRefusal";
import { createRequestEstimator } from "./createRequestEstimator";
import { createWaitingWork } from "./createWaitingWork";
import { createWaitPredictor } from "./createWaitPredictor";
import { Lane } from "./Lane";
import { lanes } from "./lanes";
import { QueuedRequest } from "./QueuedRequest";
import { RequestSchedulerOptions } from "./RequestSchedulerOptions";

const defaultCompletionTokenMilliseconds = 0.5;
const defaultPrefillAheadMilliseconds = 50;
const defaultRecomputationWeight = 1;
const defaultRedirectAboveMilliseconds = 100;
const requeueChangeRatio = 0.2;
const maximumCoalescingWaitRatio = 2;

/** Creates a scheduler. */
export function createRequestScheduler(options: RequestSchedulerOptions): RequestScheduler {
    const { clock, maximumRunning, maximumQueued, blockTokens } = options;
    const coalescesPrefills = options.coalescesPrefills ?? true;
    const costModel = createCostModel({
        clock,
        maximumRunning,
        prefillTokensPerSecond: options.prefillTokensPerSecond,
        completionTokenMilliseconds: options.completionTokenMilliseconds ?? defaultCompletionTokenMilliseconds,
    });
    const prefillLimiter = createPrefillLimiter({
        clock,
        prefillAheadMilliseconds: options.prefillAheadMilliseconds ?? defaultPrefillAheadMilliseconds,
    });
    const fairQueue = createFairQueue<QueuedRequest>();
    const waitingWork = createWaitingWork();
    const coalescer = createPrefillCoalescer(options.prefixIndex);
    const estimator = createRequestEstimator({ ...options, coalescesPrefills, costModel, coalescer });
    const running = new Set<QueuedRequest>();
    const getRunningCount = () => running.size;
    const waitPredictor = createWaitPredictor({
        fairQueue,
        prefillLimiter,
        waitingWork,
        costModel,
        maximumRunning,
        getRunningCount,
    });
    const admissionController = createAdmissionController({
        waitPredictor,
        waitingWork,
        maximumQueued,
        blockTokens,
        redirectAboveMilliseconds: options.redirectAboveMilliseconds ?? defaultRedirectAboveMilliseconds,
        recomputationWeight: options.recomputationWeight ?? defaultRecomputationWeight,
        getPrefillMilliseconds: costModel.getPrefillMilliseconds,
        getProviderRemainingMilliseconds,
    });
    const deadlineTracker = createDeadlineTracker({ clock, onExpired: refuseExpired });
    let isDraining = false;
    return { schedule, getQueueLength, getRunningCount, drain };

    function schedule(request: ScheduledRequest, signal: AbortSignal): Promise<ScheduleOutcome> {
        if (isDraining) {
            return Promise.resolve(createRefusal(RefusalReason.DRAINING));
        }
        if (signal.aborted) {
            return Promise.resolve(createRefusal(RefusalReason.CANCELLED));
        }
        const queued = createQueuedRequest(request);
        const decision = admissionController.decide(queued, getQueueLength());
        if (decision.kind === "refused") {
            return Promise.resolve(decision);
        }
        return new Promise(resolve => {
            queued.resolve = settle;
            signal.addEventListener("abort", cancel, { once: true });
            deadlineTracker.add(queued);
            coalescer.addPlanned(queued);
            enqueue(queued);
            startRequests();

            function settle(outcome: ScheduleOutcome): void {
                if (outcome.kind === "refused") {
                    coalescer.removePlanned(queued);
                }
                signal.removeEventListener("abort", cancel);
                deadlineTracker.remove(queued);
                resolve(outcome);
            }

            function cancel(): void {
                removeWaiting(queued);
                settle(createRefusal(RefusalReason.CANCELLED));
                startRequests();
            }
        });
    }

    function getQueueLength(): number {
        return fairQueue.getSize() + coalescer.getDependentCount();
    }

    function drain(): void {
        isDraining = true;
        for (const dependent of coalescer.getDependents()) {
            coalescer.removeDependent(dependent);
            dependent.resolve(createRefusal(RefusalReason.DRAINING));
        }
        for (const lane of lanes) {
            let waiting = fairQueue.getNextItem(lane);
            while (waiting !== undefined) {
                removeWaiting(waiting);
                waiting.resolve(createRefusal(RefusalReason.DRAINING));
                waiting = fairQueue.getNextItem(lane);
            }
        }
    }

    function createQueuedRequest(request: ScheduledRequest): QueuedRequest {
        return {
            request,
            workspace: request.workspace,
            subscriber: request.subscriber,
            workspaceShareWeight: request.workspaceShareWeight,
            subscriberShareWeight: request.subscriberShareWeight,
            arrivalMilliseconds: clock.getMonotonicMilliseconds(),
            startedMilliseconds: undefined,
            hasFirstToken: false,
            provider: undefined,
            resolve: () => {},
            ...estimator.getQueueAttributes(request),
        };
    }

    /** Makes a request wait for the prefill that it shares, or else in the fair queue. */
    function enqueue(queued: QueuedRequest): void {
        const provider = getWorthwhileProvider(queued);
        if (provider !== undefined) {
            coalescer.addDependent(queued, provider);
            return;
        }
        fairQueue.addItem(queued);
        waitingWork.add(queued);
    }

    /** Gets the remaining time of the prefill that a request shares, in milliseconds; undefined if there is none. */
    function getProviderRemainingMilliseconds(queued: QueuedRequest): number | undefined {
        const provider = coalescesPrefills
            ? coalescer.getProvider(queued.request.prefixHashes, queued.estimate.cachedBlocks)
            : undefined;
        return provider && prefillLimiter.getRemainingMilliseconds(provider);
    }

    /** Gets the running request whose prefill is worth waiting for; undefined if there is none. */
    function getWorthwhileProvider(queued: QueuedRequest): QueuedRequest | undefined {
        if (!coalescesPrefills || queued.request.runAlone) {
            return undefined;
        }
        const provider = coalescer.getProvider(queued.request.prefixHashes, queued.estimate.cachedBlocks);
        if (provider === undefined) {
            return undefined;
        }
        const remainingMilliseconds = prefillLimiter.getRemainingMilliseconds(provider);
        const isWorthwhile = queued.lane === Lane.Deferred
            || remainingMilliseconds <= maximumCoalescingWaitRatio * queued.estimate.prefillMilliseconds;
        return isWorthwhile ? provider : undefined;
    }

    function removeWaiting(queued: QueuedRequest): void {
        if (!coalescer.removeDependent(queued)) {
            fairQueue.removeItem(queued);
            waitingWork.remove(queued);
        }
    }

    function refuseExpired(queued: QueuedRequest): void {
        const waitMilliseconds = waitPredictor.getWaitMilliseconds(queued);
        removeWaiting(queued);
        queued.resolve(createRefusal(RefusalReason.DEADLINE, waitMilliseconds));
        startRequests();
    }

    /** Starts waiting requests while slots are free. */
    function startRequests(): void {
        while (running.size < maximumRunning && !hasExclusiveRequest()) {
            const lane = chooseLane();
            const next = lane === undefined ? undefined : fairQueue.getNextItem(lane);
            if (lane === undefined || next === undefined || (next.request.runAlone && running.size > 0)) {
                return;
            }
            if (keepsTurnAfterUpdate(next)) {
                startRequest(fairQueue.takeNextItem(lane)!);
            }
        }
    }

    /** Returns whether a request that must run alone is running. */
    function hasExclusiveRequest(): boolean {
        return running.size === 1 && [...running].some(queued => queued.request.runAlone);
    }

    /** Gets the lane to start from: the first in the fair order, or a more urgent one if that must wait. */
    function chooseLane(): Lane | undefined {
        let lane = fairQueue.getNextLane(Lane.Deferred);
        while (lane !== undefined && !prefillLimiter.canBegin(lane)) {
            lane = fairQueue.getNextLane(lane - 1);
        }
        return lane;
    }

    /** Updates a request's estimate before it starts; if that changes its position, requeues it and returns false. */
    function keepsTurnAfterUpdate(queued: QueuedRequest): boolean {
        const attributes = estimator.getQueueAttributes(queued.request);
        const change = Math.abs(attributes.chargeMilliseconds - queued.chargeMilliseconds);
        const isReordered = attributes.lane !== queued.lane
            || change > requeueChangeRatio * queued.chargeMilliseconds
            || getWorthwhileProvider({ ...queued, ...attributes }) !== undefined;
        if (isReordered) {
            removeWaiting(queued);
            Object.assign(queued, attributes);
            enqueue(queued);
        }
        return !isReordered;
    }

    function startRequest(queued: QueuedRequest): void {
        waitingWork.remove(queued);
        running.add(queued);
        const now = clock.getMonotonicMilliseconds();
        queued.startedMilliseconds = now;
        costModel.beginPrefill();
        prefillLimiter.begin(queued);
        coalescer.beginPrefill(queued);
        const queueMilliseconds = now - queued.arrivalMilliseconds;
        queued.resolve({ kind: "started", slot: createSlot(queued), queueMilliseconds });
    }

    function createSlot(queued: QueuedRequest): RunningSlot {
        let isReleased = false;
        return { enginePriority: queued.lane, recordFirstToken, release };

        function recordFirstToken(): void {
            if (!isReleased && !queued.hasFirstToken) {
                endPrefill(queued, true);
                startRequests();
            }
        }

        function release(usage: Parameters<RunningSlot["release"]>[0]): void {
            if (isReleased) {
                return;
            }
            isReleased = true;
            endRun(queued, usage);
            startRequests();
        }
    }

    /** Ends a request's prefill, and requeues the requests that waited for it. */
    function endPrefill(queued: QueuedRequest, hasSucceeded: boolean): void {
        queued.hasFirstToken = hasSucceeded;
        costModel.endPrefill(hasSucceeded ? queued.estimate.uncachedTokens : 0);
        prefillLimiter.end(queued, hasSucceeded);
        for (const waiting of coalescer.endPrefill(queued, hasSucceeded)) {
            Object.assign(waiting, estimator.getQueueAttributes(waiting.request));
            enqueue(waiting);
        }
    }

    /** Frees a request's slot and corrects its charge to its actual cost. */
    function endRun(queued: QueuedRequest, usage: Parameters<RunningSlot["release"]>[0]): void {
        running.delete(queued);
        if (queued.hasFirstToken) {
            coalescer.unpinBlocks(queued);
        }
        else {
            endPrefill(queued, false);
        }
        costModel.addRun(clock.getMonotonicMilliseconds() - queued.startedMilliseconds!, usage?.completionTokens);
        if (usage !== undefined) {
            const uncachedTokens = Math.max(0, usage.promptTokens - usage.cachedTokens);
            const actualMilliseconds = costModel.getActualMilliseconds(uncachedTokens, usage.completionTokens);
            fairQueue.correctCharge(queued, actualMilliseconds - queued.chargeMilliseconds);
        }
    }
}
