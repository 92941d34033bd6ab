/*
 * Estimates a request by its priority and by the blocks that the engine holds or will compute for admitted requests.
 */
import { Priority } from "../../protocol";
import { ScheduledRequest } from "../ScheduledRequest";
import { CostEstimate } from "./CostEstimate";
import { CostModel } from "./CostModel";
import { Lane } from "./Lane";
import { PrefillCoalescer } from "./PrefillCoalescer";
import { QueueAttributes } from "./QueueAttributes";
import { RequestEstimator } from "./RequestEstimator";

const defaultLongPrefillMilliseconds = 250;
const standardPriorityFactor = 1.5;
const deferredPriorityFactor = 3;

/** The options of a request estimator. */
interface RequestEstimatorOptions {
    /** The cost model of the backend server. */
    costModel: CostModel;
    /** The prefills in progress and planned. */
    coalescer: PrefillCoalescer;
    /** The number of tokens in a block. */
    blockTokens: number;
    /** Whether requests wait for the prefill of another request that computes a prefix that they share. */
    coalescesPrefills: boolean;
    /** The prefill duration above which a request counts as long. */
    longPrefillMilliseconds?: number;
}

/** Creates the estimator of one backend server. */
export function createRequestEstimator(options: RequestEstimatorOptions): RequestEstimator {
    const { costModel, coalescer, blockTokens, coalescesPrefills } = options;
    const longPrefillMilliseconds = options.longPrefillMilliseconds ?? defaultLongPrefillMilliseconds;
    return { getQueueAttributes };

    function getQueueAttributes(request: ScheduledRequest): QueueAttributes {
        const estimate = estimateCost(request);
        return {
            estimate,
            lane: getLane(request, estimate),
            chargeMilliseconds: estimate.chargeMilliseconds,
            weightedChargeMilliseconds: estimate.chargeMilliseconds * getPriorityFactor(request.priority),
        };
    }

    function getLane(request: ScheduledRequest, estimate: CostEstimate): Lane {
        if (estimate.prefillMilliseconds <= longPrefillMilliseconds) {
            return Lane.Short;
        }
        return request.priority === Priority.DEFERRED ? Lane.Deferred : Lane.Urgent;
    }

    function estimateCost(request: ScheduledRequest): CostEstimate {
        const cachedBlocks = coalescer.countCachedBlocks(request.prefixHashes);
        const plannedBlocks = coalescesPrefills
            ? coalescer.countPlannedBlocks(request.prefixHashes, cachedBlocks)
            : cachedBlocks;
        const uncachedTokens = Math.max(0, request.promptTokens - cachedBlocks * blockTokens);
        return {
            cachedBlocks,
            uncachedTokens,
            unsharedTokens: Math.max(0, request.promptTokens - plannedBlocks * blockTokens),
            prefillMilliseconds: costModel.getPrefillMilliseconds(uncachedTokens),
            chargeMilliseconds: costModel.getChargeMilliseconds(uncachedTokens, request.maximumOutputTokens),
        };
    }
}

/** Gets the factor by which a request's charge is multiplied when requests are ordered. */
function getPriorityFactor(priority: Priority): number {
    switch (priority) {
        case Priority.STANDARD:
            return standardPriorityFactor;
        case Priority.DEFERRED:
            return deferredPriorityFactor;
        default:
            return 1;
    }
}
