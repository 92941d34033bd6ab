/*
 * The scheduler of one backend server: admission by predicted cost and fair share, a fair queue in two levels, shared
 * prefills, and bounds on what the engine is given at once. All decisions are made when a request arrives, a first
 * token comes, a place is freed or a deadline passes; nothing polls.
 */
import { RefusalReason } from "../../protocol";
import { RequestScheduler } from "../RequestScheduler";
import { RunningSlot } from "../RunningSlot";
import { ScheduledRequest } from "../ScheduledRequest";
import { ScheduleOutcome } from "../ScheduleOutcome";
import { createAdmission } from "./createAdmission";
import { createCostModel } from "./createCostModel";
import { createDeadlineWatch } from "./createDeadlineWatch";
import { createFairQueue } from "./createFairQueue";
import { createPrefillSharing } from "./createPrefillSharing";
import { createPrefillSlots } from "./createPrefillSlots";
import { createRefusal } from "./createRefusal";
import { createRequestEstimator } from "./createRequestEstimator";
import { createWaitingWork } from "./createWaitingWork";
import { createWaitPrediction } from "./createWaitPrediction";
import { Lane } from "./Lane";
import { lanes } from "./lanes";
import { QueuedRequest } from "./QueuedRequest";
import { RequestSchedulerOptions } from "./RequestSchedulerOptions";

const defaultCompletionTokenMilliseconds = 0.5;
const defaultPrefillAheadMilliseconds = 50;
const defaultRecomputationWeight = 1;
const defaultRedirectAboveMilliseconds = 100;
const reorderedChangeShare = 0.2;
const longestShareWaitRatio = 2;

/** Creates a scheduler. */
export function createRequestScheduler(options: RequestSchedulerOptions): RequestScheduler {
    const { clock, maximumRunning, maximumQueued, pieceTokens } = options;
    const sharesPrefills = options.sharesPrefills ?? true;
    const costModel = createCostModel({
        clock,
        maximumRunning,
        prefillTokensPerSecond: options.prefillTokensPerSecond,
        completionTokenMilliseconds: options.completionTokenMilliseconds ?? defaultCompletionTokenMilliseconds,
    });
    const prefillSlots = createPrefillSlots({
        clock,
        prefillAheadMilliseconds: options.prefillAheadMilliseconds ?? defaultPrefillAheadMilliseconds,
    });
    const fairQueue = createFairQueue<QueuedRequest>();
    const waitingWork = createWaitingWork();
    const sharing = createPrefillSharing(options.prefixIndex);
    const estimator = createRequestEstimator({ ...options, sharesPrefills, costModel, sharing });
    const running = new Set<QueuedRequest>();
    const getRunningCount = () => running.size;
    const prediction = createWaitPrediction({
        fairQueue,
        prefillSlots,
        waitingWork,
        costModel,
        maximumRunning,
        getRunningCount,
    });
    const admission = createAdmission({
        prediction,
        waitingWork,
        maximumQueued,
        pieceTokens,
        redirectAboveMilliseconds: options.redirectAboveMilliseconds ?? defaultRedirectAboveMilliseconds,
        recomputationWeight: options.recomputationWeight ?? defaultRecomputationWeight,
        getPrefillMilliseconds: costModel.getPrefillMilliseconds,
        getProviderMilliseconds,
    });
    const deadlines = createDeadlineWatch({ clock, onDeadline: refuseLate });
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
        const decision = admission.decide(queued, getQueueLength());
        if (decision.kind === "refused") {
            return Promise.resolve(decision);
        }
        return new Promise(resolve => {
            queued.resolve = finish;
            signal.addEventListener("abort", cancel, { once: true });
            deadlines.add(queued);
            sharing.plan(queued);
            enqueue(queued);
            startRequests();

            function finish(outcome: ScheduleOutcome): void {
                if (outcome.kind === "refused") {
                    sharing.endPlan(queued);
                }
                signal.removeEventListener("abort", cancel);
                deadlines.remove(queued);
                resolve(outcome);
            }

            function cancel(): void {
                removeWaiting(queued);
                finish(createRefusal(RefusalReason.CANCELLED));
                startRequests();
            }
        });
    }

    function getQueueLength(): number {
        return fairQueue.getSize() + sharing.getHeldCount();
    }

    function drain(): void {
        isDraining = true;
        for (const held of sharing.getHeld()) {
            sharing.letGo(held);
            held.resolve(createRefusal(RefusalReason.DRAINING));
        }
        for (const lane of lanes) {
            let waiting = fairQueue.getNext(lane);
            while (waiting !== undefined) {
                removeWaiting(waiting);
                waiting.resolve(createRefusal(RefusalReason.DRAINING));
                waiting = fairQueue.getNext(lane);
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
            heldFor: undefined,
            resolve: () => {},
            ...estimator.getOrder(request),
        };
    }

    /** Puts a request where it waits: behind the prefill that it shares, or in the fair queue. */
    function enqueue(queued: QueuedRequest): void {
        const provider = getWorthwhileProvider(queued);
        if (provider !== undefined) {
            sharing.hold(queued, provider);
            return;
        }
        fairQueue.addItem(queued);
        waitingWork.add(queued);
    }

    /** Gets how long the running prefill takes that a request shares, in milliseconds; undefined where there is none. */
    function getProviderMilliseconds(queued: QueuedRequest): number | undefined {
        const provider = sharesPrefills
            ? sharing.getProvider(queued.request.hashes, queued.estimate.cachedPieces)
            : undefined;
        return provider && prefillSlots.getRemainingMilliseconds(provider);
    }

    /** Gets the running request whose prefill is worth waiting for; undefined where there is none. */
    function getWorthwhileProvider(queued: QueuedRequest): QueuedRequest | undefined {
        if (!sharesPrefills || queued.request.runAlone) {
            return undefined;
        }
        const provider = sharing.getProvider(queued.request.hashes, queued.estimate.cachedPieces);
        if (provider === undefined) {
            return undefined;
        }
        const remainingMilliseconds = prefillSlots.getRemainingMilliseconds(provider);
        const isWorthwhile = queued.lane === Lane.Deferred
            || remainingMilliseconds <= longestShareWaitRatio * queued.estimate.prefillMilliseconds;
        return isWorthwhile ? provider : undefined;
    }

    function removeWaiting(queued: QueuedRequest): void {
        if (!sharing.letGo(queued)) {
            fairQueue.removeItem(queued);
            waitingWork.remove(queued);
        }
    }

    function refuseLate(queued: QueuedRequest): void {
        const waitMilliseconds = prediction.getWaitMilliseconds(queued);
        removeWaiting(queued);
        queued.resolve(createRefusal(RefusalReason.DEADLINE, waitMilliseconds));
        startRequests();
    }

    /** Starts waiting requests while there is room. */
    function startRequests(): void {
        while (running.size < maximumRunning && !hasExclusive()) {
            const lane = chooseLane();
            const next = lane === undefined ? undefined : fairQueue.getNext(lane);
            if (lane === undefined || next === undefined || (next.request.runAlone && running.size > 0)) {
                return;
            }
            if (isUpToDate(next)) {
                start(fairQueue.takeNext(lane)!);
            }
        }
    }

    /** Tells whether a request runs that must run with no other beside it. */
    function hasExclusive(): boolean {
        return running.size === 1 && [...running].some(queued => queued.request.runAlone);
    }

    /** Gets the lane to start from: the one whose turn it is, or a more urgent one while that must wait. */
    function chooseLane(): Lane | undefined {
        let lane = fairQueue.getNextLane(Lane.Deferred);
        while (lane !== undefined && !prefillSlots.canBegin(lane)) {
            lane = fairQueue.getNextLane(lane - 1);
        }
        return lane;
    }

    /** Estimates a request's cost anew before it starts; where that changes its turn, it goes back to the queue. */
    function isUpToDate(queued: QueuedRequest): boolean {
        const order = estimator.getOrder(queued.request);
        const change = Math.abs(order.chargeMilliseconds - queued.chargeMilliseconds);
        const isReordered = order.lane !== queued.lane
            || change > reorderedChangeShare * queued.chargeMilliseconds
            || getWorthwhileProvider({ ...queued, ...order }) !== undefined;
        if (isReordered) {
            removeWaiting(queued);
            Object.assign(queued, order);
            enqueue(queued);
        }
        return !isReordered;
    }

    function start(queued: QueuedRequest): void {
        waitingWork.remove(queued);
        running.add(queued);
        const now = clock.getMonotonicMilliseconds();
        queued.startedMilliseconds = now;
        costModel.beginPrefill();
        prefillSlots.begin(queued);
        sharing.beginPrefill(queued);
        const queueMilliseconds = now - queued.arrivalMilliseconds;
        queued.resolve({ kind: "started", slot: createSlot(queued), queueMilliseconds });
    }

    function createSlot(queued: QueuedRequest): RunningSlot {
        let isReleased = false;
        return { enginePriority: queued.lane, noteFirstToken, release };

        function noteFirstToken(): void {
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

    /** Ends a request's prefill, and puts those that waited for it back into the queue. */
    function endPrefill(queued: QueuedRequest, hasSucceeded: boolean): void {
        queued.hasFirstToken = hasSucceeded;
        costModel.endPrefill(hasSucceeded ? queued.estimate.uncachedTokens : 0);
        prefillSlots.end(queued, hasSucceeded);
        for (const waiting of sharing.endPrefill(queued, hasSucceeded)) {
            Object.assign(waiting, estimator.getOrder(waiting.request));
            enqueue(waiting);
        }
    }

    /** Frees a request's place and corrects its charge by what it used. */
    function endRun(queued: QueuedRequest, usage: Parameters<RunningSlot["release"]>[0]): void {
        running.delete(queued);
        if (queued.hasFirstToken) {
            sharing.end(queued);
        }
        else {
            endPrefill(queued, false);
        }
        costModel.addRun(clock.getMonotonicMilliseconds() - queued.startedMilliseconds!, usage?.completionTokens);
        if (usage !== undefined) {
            const uncachedTokens = Math.max(0, usage.promptTokens - usage.cachedTokens);
            const actual = costModel.getActualMilliseconds(uncachedTokens, usage.completionTokens);
            fairQueue.correctCharge(queued, actual - queued.chargeMilliseconds);
        }
    }
}
