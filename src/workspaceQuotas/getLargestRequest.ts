/*
 * The largest request that a quota can admit.
 */
import { WorkspaceQuota } from "../documents";
import { getQuotaTolerance } from "./getQuotaTolerance";
import { QuotaBounds } from "./QuotaBounds";
import { quotaShares } from "./quotaShares";

/**
 * Gets the amount of the largest request that a full bucket admits where nothing else is granted and unused.
 * @param quota - The quota.
 * @param bounds - The bound of a window.
 */
export function getLargestRequest(quota: WorkspaceQuota, bounds: QuotaBounds): number {
    return quota.burst + quotaShares.credit * getQuotaTolerance(quota, bounds);
}
