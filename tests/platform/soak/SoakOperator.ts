/*
 * The operator of a soak.
 */

/** Changes the configuration and reads it back. */
export interface SoakOperator {
    /** Sends a new document until it is acknowledged. */
    changeDocument(): Promise<void>;
    /** Sends a document that takes a key away. */
    revokeKey(): Promise<void>;
    /** Names new weights until that is acknowledged. */
    requestWeights(): Promise<void>;
    /** Reads the document from each member until one shows the newest acknowledged version; tells whether one did. */
    waitForNewestDocument(timeoutMilliseconds: number): Promise<boolean>;
    stop(): void;
}
