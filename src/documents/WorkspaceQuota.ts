/*
 * The quota of a workspace, which applies to all entry processes together.
 */
import { QuotaUnit } from "./QuotaUnit";

/** A token bucket for the requests of a workspace. */
export interface WorkspaceQuota {
    /** What is counted. */
    unit: QuotaUnit;
    /** The amount by which the bucket is refilled each second; above 0. */
    amountPerSecond: number;
    /** The amount that a full bucket holds; above 0. */
    burst: number;
    /** The tokens that a request without token counts is counted as. */
    defaultRequestTokens: number;
}
