/*
 * Admission by predicted cost. A request that may be redirected is refused if its cost is above the limit set by its
 * entry process, or above the scheduler's own limit if there is none. Any request is refused if it would miss its
 * deadline, if the queue is full, or if its flow would exceed its share of a contended queue.
 */
import { RefusalReason } from "../../protocol";
import { getPlacementKey } from "../../routing";
import { ScheduledRequest } from "../ScheduledRequest";
import { ScheduleHint } from "../ScheduleHint";
import { AdmissionController } from "./AdmissionController";
import { createContentionThrottle } from "./createContentionThrottle";
import { createRefusal } from "./createRefusal";
import { QueuedRequest } from "./QueuedRequest";
import { WaitingWork } from "./WaitingWork";
import { WaitPredictor } from "./WaitPredictor";

const minimumContentionMilliseconds = 2_000;
const fullContentionMilliseconds = 10_000;
const maximumWaitToleranceMilliseconds = 300;
const minimumReplicationStepMilliseconds = 100;
const maximumReplicaCount = 8;

/** The options of an admission controller. */
interface AdmissionControllerOptions {
    /** Predicts how long a request waits. */
    waitPredictor: WaitPredictor;
    /** The totals of the waiting work. */
    waitingWork: WaitingWork;
    /** The number of requests that may wait. */
    maximumQueued: number;
    /** The number of tokens in a block. */
    blockTokens: number;
    /** The cost in milliseconds above which a request that may be redirected is refused if it carries no limit. */
    redirectAboveMilliseconds: number;
    /** The weight of recomputation, relative to waiting, in the cost that is compared between sidecars. */
    recomputationWeight: number;
    /** Gets the duration of the prefill of a number of tokens, in milliseconds. */
    getPrefillMilliseconds: (tokens: number) => number;
    /** Gets the remaining time of the prefill that a request shares, in milliseconds; undefined if there is none. */
    getProviderRemainingMilliseconds: (queued: QueuedRequest) => number | undefined;
}

/** Creates the admission controller of one backend server. */
export function createAdmissionController(options: AdmissionControllerOptions): AdmissionController {
    const { waitPredictor, waitingWork, maximumQueued, blockTokens } = options;
    const { redirectAboveMilliseconds, recomputationWeight, getPrefillMilliseconds, getProviderRemainingMilliseconds } =
        options;
    const throttle = createContentionThrottle({
        waitingWork,
        minimumContentionMilliseconds,
        fullContentionMilliseconds,
    });
    return { decide };

    function decide(queued: QueuedRequest, queueLength: number): ReturnType<AdmissionController["decide"]> {
        const { request } = queued;
        const waitMilliseconds = waitPredictor.getWaitMilliseconds(queued);
        if (request.mayRedirect && !isAcceptable(queued, waitMilliseconds)) {
            return refuse(RefusalReason.BETTER_SIBLING, queued, waitMilliseconds, waitMilliseconds);
        }
        const costMilliseconds = getCostMilliseconds(queued, waitMilliseconds);
        const remainingMilliseconds = Math.max(0, request.deadlineMilliseconds - queued.arrivalMilliseconds);
        if (costMilliseconds > remainingMilliseconds) {
            const lateByMilliseconds = costMilliseconds - remainingMilliseconds;
            return refuse(RefusalReason.DEADLINE, queued, waitMilliseconds, lateByMilliseconds);
        }
        if (queueLength >= maximumQueued) {
            return refuse(RefusalReason.OVERLOADED, queued, waitMilliseconds, waitMilliseconds);
        }
        const backoffMilliseconds = throttle.getBackoffMilliseconds(queued, queueLength / maximumQueued);
        return backoffMilliseconds > 0
            ? refuse(RefusalReason.FAIR_SHARE, queued, waitMilliseconds, backoffMilliseconds)
            : { kind: "admitted" };
    }

    /** Returns whether a request that may be redirected should be kept. */
    function isAcceptable(queued: QueuedRequest, waitMilliseconds: number): boolean {
        const { acceptBelowMilliseconds } = queued.request;
        if (acceptBelowMilliseconds !== undefined) {
            return getWeightedCostMilliseconds(queued, waitMilliseconds) <= acceptBelowMilliseconds;
        }
        const { cachedBlocks } = queued.estimate;
        const savedMilliseconds = getPrefillMilliseconds(cachedBlocks * blockTokens);
        const waitToleranceMilliseconds = Math.min(maximumWaitToleranceMilliseconds, savedMilliseconds);
        const isFullyCached = cachedBlocks === queued.request.prefixHashes.length;
        return getCostMilliseconds(queued, waitMilliseconds) <= redirectAboveMilliseconds
            || (isFullyCached && waitMilliseconds <= waitToleranceMilliseconds);
    }

    /** Predicts the time to first token of a request at this backend server, in milliseconds. */
    function getCostMilliseconds(queued: QueuedRequest, waitMilliseconds: number): number {
        const providerMilliseconds = getProviderRemainingMilliseconds(queued);
        return providerMilliseconds === undefined
            ? waitMilliseconds + queued.estimate.prefillMilliseconds
            : Math.max(waitMilliseconds, providerMilliseconds) + getUnsharedMilliseconds(queued);
    }

    /** Gets the cost that is compared between sidecars. Recomputation also delays other requests, so it is weighted. */
    function getWeightedCostMilliseconds(queued: QueuedRequest, waitMilliseconds: number): number {
        return getCostMilliseconds(queued, waitMilliseconds)
            + (recomputationWeight - 1) * getUnsharedMilliseconds(queued);
    }

    /** Gets the replica count of a prefix: 1, plus one for each time the wait covers the prefill of a further copy. */
    function getReplicaCount(request: ScheduledRequest, waitMilliseconds: number): number {
        const copyMilliseconds = Math.max(
            minimumReplicationStepMilliseconds,
            getPrefillMilliseconds(request.promptTokens),
        );
        return Math.min(maximumReplicaCount, 1 + Math.floor(waitMilliseconds / copyMilliseconds));
    }

    function getUnsharedMilliseconds(queued: QueuedRequest): number {
        return getPrefillMilliseconds(queued.estimate.unsharedTokens);
    }

    /** Creates a refusal with a hint on where the request would be served better. */
    function refuse(
        reason: RefusalReason,
        queued: QueuedRequest,
        waitMilliseconds: number,
        retryAfterMilliseconds: number,
    ): ReturnType<typeof createRefusal> {
        return createRefusal(reason, retryAfterMilliseconds, createHint(queued, waitMilliseconds));
    }

    function createHint(queued: QueuedRequest, waitMilliseconds: number): ScheduleHint {
        const { estimate, request } = queued;
        return {
            prefixHash: getPlacementKey(request.prefixHashes),
            replicaCount: getReplicaCount(request, waitMilliseconds),
            sibling: undefined,
            predictedWaitMilliseconds: Math.round(waitMilliseconds),
            predictedCostMilliseconds: Math.round(getWeightedCostMilliseconds(queued, waitMilliseconds)),
            cachedTokens: Math.min(request.promptTokens, estimate.cachedBlocks * blockTokens),
        };
    }
}
