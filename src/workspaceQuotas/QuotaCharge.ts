/*
 * The amount that one request has taken from the quota of its workspace.
 */
import { QuotaRefusal } from "./QuotaRefusal";

/** The charge of a request. */
export interface QuotaCharge {
    /**
     * Checks whether the request may be sent now.
     * @param hasRun - Whether an attempt of the request ran, may have run or is in progress.
     * @returns Why it must not be sent, and when to retry; undefined where it may be sent.
     */
    prepareSending(hasRun: boolean): QuotaRefusal | undefined;
    /** Records that an attempt is being sent. */
    recordSent(): void;
    /**
     * Ends the charge with its request; what has not run is refunded.
     * @param hasRun - Whether an attempt of the request ran or may have run.
     */
    end(hasRun: boolean): void;
}
