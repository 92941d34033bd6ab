/*
 * Admission by predicted cost. A request that may go elsewhere is refused where its cost is above what its entry takes;
 * any request is refused where it would miss its deadline, where the queue is full, or where its flow holds more of a
 * contended queue than its share.
 */
import { RefusalReason } from "../../protocol";
import { getPlacementKey } from "../../routing";
import { ScheduledRequest } from "../ScheduledRequest";
import { ScheduleHint } from "../ScheduleHint";
import { Admission } from "./Admission";
import { createContentionThrottle } from "./createContentionThrottle";
import { createRefusal } from "./createRefusal";
import { QueuedRequest } from "./QueuedRequest";
import { WaitingWork } from "./WaitingWork";
import { WaitPrediction } from "./WaitPrediction";

const leastContentionMilliseconds = 2_000;
const fullContentionMilliseconds = 10_000;
const longestPatienceMilliseconds = 300;
const leastSpreadStepMilliseconds = 100;
const widestSpread = 8;

/** The options of an admission. */
interface AdmissionOptions {
    prediction: WaitPrediction;
    waitingWork: WaitingWork;
    maximumQueued: number;
    pieceTokens: number;
    redirectAboveMilliseconds: number;
    recomputationWeight: number;
    /** Gets how long the prefill of some tokens takes, in milliseconds. */
    getPrefillMilliseconds: (tokens: number) => number;
    /** Gets how long the running prefill takes that a request shares, in milliseconds; undefined where there is none. */
    getProviderMilliseconds: (queued: QueuedRequest) => number | undefined;
}

/** Creates the admission of one backend server. */
export function createAdmission(options: AdmissionOptions): Admission {
    const { prediction, waitingWork, maximumQueued, pieceTokens } = options;
    const { redirectAboveMilliseconds, recomputationWeight, getPrefillMilliseconds, getProviderMilliseconds } = options;
    const throttle = createContentionThrottle({ waitingWork, leastContentionMilliseconds, fullContentionMilliseconds });
    return { decide };

    function decide(queued: QueuedRequest, queueLength: number): ReturnType<Admission["decide"]> {
        const { request } = queued;
        const waitMilliseconds = prediction.getWaitMilliseconds(queued);
        if (request.mayRedirect && !isAcceptable(queued, waitMilliseconds)) {
            return refuse(RefusalReason.BETTER_SIBLING, queued, waitMilliseconds, waitMilliseconds);
        }
        const costMilliseconds = getCost(queued, waitMilliseconds);
        const remainingMilliseconds = Math.max(0, request.deadlineMilliseconds - queued.arrivalMilliseconds);
        if (costMilliseconds > remainingMilliseconds) {
            const lateMilliseconds = costMilliseconds - remainingMilliseconds;
            return refuse(RefusalReason.DEADLINE, queued, waitMilliseconds, lateMilliseconds);
        }
        if (queueLength >= maximumQueued) {
            return refuse(RefusalReason.OVERLOADED, queued, waitMilliseconds, waitMilliseconds);
        }
        const holdBackMilliseconds = throttle.getHoldBackMilliseconds(queued, queueLength / maximumQueued);
        return holdBackMilliseconds > 0
            ? refuse(RefusalReason.FAIR_SHARE, queued, waitMilliseconds, holdBackMilliseconds)
            : { kind: "admitted" };
    }

    /** Tells whether a request that may go elsewhere should stay. */
    function isAcceptable(queued: QueuedRequest, waitMilliseconds: number): boolean {
        const { acceptBelowMilliseconds } = queued.request;
        if (acceptBelowMilliseconds !== undefined) {
            return getComparedCost(queued, waitMilliseconds) <= acceptBelowMilliseconds;
        }
        const { cachedPieces } = queued.estimate;
        const savedMilliseconds = getPrefillMilliseconds(cachedPieces * pieceTokens);
        const patienceMilliseconds = Math.min(longestPatienceMilliseconds, savedMilliseconds);
        const isWhole = cachedPieces === queued.request.hashes.length;
        return getCost(queued, waitMilliseconds) <= redirectAboveMilliseconds
            || (isWhole && waitMilliseconds <= patienceMilliseconds);
    }

    /** Gets how long a request's first token would take here, in milliseconds. */
    function getCost(queued: QueuedRequest, waitMilliseconds: number): number {
        const providerMilliseconds = getProviderMilliseconds(queued);
        return providerMilliseconds === undefined
            ? waitMilliseconds + queued.estimate.prefillMilliseconds
            : Math.max(waitMilliseconds, providerMilliseconds) + getUnsharedMilliseconds(queued);
    }

    /** Gets the cost that is compared between sidecars: recomputation also delays others, so it counts for more. */
    function getComparedCost(queued: QueuedRequest, waitMilliseconds: number): number {
        return getCost(queued, waitMilliseconds) + (recomputationWeight - 1) * getUnsharedMilliseconds(queued);
    }

    /** Gets over how many backend servers a prefix should be spread: one more for each time a copy has paid off. */
    function getSpread(request: ScheduledRequest, waitMilliseconds: number): number {
        const copyMilliseconds = Math.max(leastSpreadStepMilliseconds, getPrefillMilliseconds(request.promptTokens));
        return Math.min(widestSpread, 1 + Math.floor(waitMilliseconds / copyMilliseconds));
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
            spread: getSpread(request, waitMilliseconds),
            sibling: undefined,
            predictedWaitMilliseconds: Math.round(waitMilliseconds),
            predictedCostMilliseconds: Math.round(getComparedCost(queued, waitMilliseconds)),
            cachedTokens: Math.min(request.promptTokens, estimate.cachedPieces * pieceTokens),
        };
    }
}
