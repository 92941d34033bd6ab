/*
 * Estimates a request by the pieces that its engine holds or is about to compute, and by its priority.
 */
import { Priority } from "../../protocol";
import { ScheduledRequest } from "../ScheduledRequest";
import { CostEstimate } from "./CostEstimate";
import { CostModel } from "./CostModel";
import { Lane } from "./Lane";
import { PrefillSharing } from "./PrefillSharing";
import { RequestEstimator } from "./RequestEstimator";
import { RequestOrder } from "./RequestOrder";

const defaultLongPrefillMilliseconds = 250;
const standardOrderFactor = 1.5;
const deferredOrderFactor = 3;

/** The options of a request estimator. */
interface RequestEstimatorOptions {
    costModel: CostModel;
    sharing: PrefillSharing;
    pieceTokens: number;
    sharesPrefills: boolean;
    longPrefillMilliseconds?: number;
}

/** Creates the estimator of one backend server. */
export function createRequestEstimator(options: RequestEstimatorOptions): RequestEstimator {
    const { costModel, sharing, pieceTokens, sharesPrefills } = options;
    const longPrefillMilliseconds = options.longPrefillMilliseconds ?? defaultLongPrefillMilliseconds;
    return { getOrder };

    function getOrder(request: ScheduledRequest): RequestOrder {
        const estimate = estimateCost(request);
        return {
            estimate,
            lane: getLane(request, estimate),
            chargeMilliseconds: estimate.chargeMilliseconds,
            orderMilliseconds: estimate.chargeMilliseconds * getOrderFactor(request.priority),
        };
    }

    function getLane(request: ScheduledRequest, estimate: CostEstimate): Lane {
        if (estimate.prefillMilliseconds <= longPrefillMilliseconds) {
            return Lane.Short;
        }
        return request.priority === Priority.DEFERRED ? Lane.Deferred : Lane.Urgent;
    }

    function estimateCost(request: ScheduledRequest): CostEstimate {
        const cachedPieces = sharing.countHeldPieces(request.hashes);
        const plannedPieces = sharesPrefills
            ? sharing.countPlannedPieces(request.hashes, cachedPieces)
            : cachedPieces;
        const uncachedTokens = Math.max(0, request.promptTokens - cachedPieces * pieceTokens);
        return {
            cachedPieces,
            uncachedTokens,
            unsharedTokens: Math.max(0, request.promptTokens - plannedPieces * pieceTokens),
            prefillMilliseconds: costModel.getPrefillMilliseconds(uncachedTokens),
            chargeMilliseconds: costModel.getChargeMilliseconds(uncachedTokens, request.maximumTokens),
        };
    }
}

/** Gets how much longer a request counts in the order for its priority. */
function getOrderFactor(priority: Priority): number {
    switch (priority) {
        case Priority.STANDARD:
            return standardOrderFactor;
        case Priority.DEFERRED:
            return deferredOrderFactor;
        default:
            return 1;
    }
}
