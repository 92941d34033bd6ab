/*
 * Admission by predicted cost. A request that may go elsewhere is refused where its cost is above what its entry takes;
 * any request is refused where it would miss its deadline, where the queue is full, or where its flow holds more of a
 * contended queue than its share.
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

/** The options of an admission. */
interface AdmissionControllerOptions {
    waitPredictor: WaitPredictor;
    waitingWork: WaitingWork;
    maximumQueued: number;
    blockTokens: number;
    redirectAboveMilliseconds: number;
    recomputationWeight: number;
    /** Gets how long the prefill of some tokens takes, in milliseconds. */
    getPrefillMilliseconds: (tokens: number) => number;
    /** Gets how long the running prefill takes that a request shares, in milliseconds; undefined where there is none. */
    getProviderRemainingMilliseconds: (queued: QueuedRequest) => number | undefined;
}

/** Creates the admission of one backend server. */
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

    /** Tells whether a request that may go elsewhere should stay. */
    function isAcceptable(queued: QueuedRequest, waitMilliseconds: number): boolean {
        const { acceptBelowMilliseconds } = queued.request;
        if (acceptBelowMilliseconds !== undefined) {
            return getWeightedCostMilliseconds(queued, waitMilliseconds) <= acceptBelowMilliseconds;
        }
        const { cachedBlocks } = queued.estimate;
        const savedMilliseconds = getPrefillMilliseconds(cachedBlocks * blockTokens);
        const waitToleranceMilliseconds = Math.min(maximumWaitToleranceMilliseconds, savedMilliseconds);
        const isFullyCached = cachedBlocks === queued.request.hashes.length;
        return getCostMilliseconds(queued, waitMilliseconds) <= redirectAboveMilliseconds
            || (isFullyCached && waitMilliseconds <= waitToleranceMilliseconds);
    }

    /** Gets how long a request's first token would take here, in milliseconds. */
    function getCostMilliseconds(queued: QueuedRequest, waitMilliseconds: number): number {
        const providerMilliseconds = getProviderRemainingMilliseconds(queued);
        return providerMilliseconds === undefined
            ? waitMilliseconds + queued.estimate.prefillMilliseconds
            : Math.max(waitMilliseconds, providerMilliseconds) + getUnsharedMilliseconds(queued);
    }

    /** Gets the cost that is compared between sidecars: recomputation also delays others, so it counts for more. */
    function getWeightedCostMilliseconds(queued: QueuedRequest, waitMilliseconds: number): number {
        return getCostMilliseconds(queued, waitMilliseconds)
            + (recomputationWeight - 1) * getUnsharedMilliseconds(queued);
    }

    /** Gets over how many backend servers a prefix should be spread: one more for each time a copy has paid off. */
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

    /** Refuses with a hint. */
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
            prefixHash: getPlacementKey(request.hashes),
            spread: getReplicaCount(request, waitMilliseconds),
            sibling: undefined,
            predictedWaitMilliseconds: Math.round(waitMilliseconds),
            predictedCostMilliseconds: Math.round(getWeightedCostMilliseconds(queued, waitMilliseconds)),
            cachedTokens: Math.min(request.promptTokens, estimate.cachedBlocks * blockTokens),
        };
    }
}
