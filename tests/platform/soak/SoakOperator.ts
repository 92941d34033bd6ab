/*
 * The operator of a soak.
 */

/** Changes the configuration and reads it back. */
export interface SoakOperator {
    /** Sends a new document until it is acknowledged. */
    change(): Promise<void>;
    /** Sends a document that takes a key away. */
    revoke(): Promise<void>;
    /** Names new weights until that is acknowledged. */
    nameWeights(): Promise<void>;
    /** Reads the document from each member until one shows the newest acknowledged version; tells whether one did. */
    readBack(milliseconds: number): Promise<boolean>;
    stop(): void;
}
