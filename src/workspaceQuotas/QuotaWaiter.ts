/*
 * A request that waits for a grant.
 */
import { QuotaWaitEnd } from "./QuotaWaitEnd";

/** A waiting request. */
export interface QuotaWaiter {
    /** The amount that it needs. */
    amount: number;
    /** Whether a poll has named it. */
    isReported: boolean;
    /** Ends the wait. */
    resolve(end: QuotaWaitEnd): void;
}
