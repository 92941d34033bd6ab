/*
 * The amount that one request has taken from the quota of its workspace.
 */
import { RefusalReason } from "../protocol";

/** The charge of a request. */
export interface QuotaCharge {
    /**
     * Checks whether the request may be sent now.
     * @param hasRun - Whether an attempt of the request ran, may have run or is in progress.
     * @returns Why it must not be sent; undefined where it may be.
     */
    prepareSending(hasRun: boolean): RefusalReason | undefined;
    /** Records that an attempt is being sent. */
    recordSent(): void;
    /**
     * Ends the charge with its request; what has not run is refunded.
     * @param hasRun - Whether an attempt of the request ran or may have run.
     */
    end(hasRun: boolean): void;
}
