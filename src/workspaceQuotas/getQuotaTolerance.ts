/*
 * The amount by which a window may exceed a quota.
 */
import { WorkspaceQuota } from "../documents";
import { QuotaBounds } from "./QuotaBounds";

const millisecondsPerSecond = 1_000;

/**
 * Gets the amount that may be used in a window beyond the refill and the burst.
 * @param quota - The quota.
 * @param bounds - The bound of a window.
 */
export function getQuotaTolerance({ amountPerSecond, burst }: WorkspaceQuota, bounds: QuotaBounds): number {
    const refill = amountPerSecond * bounds.windowMilliseconds / millisecondsPerSecond;
    return (refill + burst) * bounds.overshoot + bounds.slack;
}
