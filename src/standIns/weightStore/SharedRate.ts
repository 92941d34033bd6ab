/*
 * A transfer rate that concurrent transfers share.
 */

/** Simulates transfers that share a rate. */
export interface SharedRate {
    /** Runs a transfer; resolves when it is complete. */
    transfer(): Promise<void>;
    /** Gets the number of transfers in progress. */
    getTransferCount(): number;
}
