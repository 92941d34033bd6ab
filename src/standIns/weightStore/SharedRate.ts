/*
 * A rate that concurrent transfers share.
 */

/** Lets transfers share a rate. */
export interface SharedRate {
    /** Makes a transfer; resolves once it is complete. */
    transfer(): Promise<void>;
    /** Gets how many transfers run now. */
    getTransferCount(): number;
}
