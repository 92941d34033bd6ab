/*
 * The operator of a soak.
 */

/** Changes the configuration and checks what control members return. */
export interface SoakOperator {
    /** Sends a new version of the document until it is acknowledged. */
    changeDocument(): Promise<void>;
    /** Sends a document without the revocable tenant, until it is acknowledged. */
    revokeKey(): Promise<void>;
    /** Sends a new version of the weights until it is acknowledged. */
    requestWeights(): Promise<void>;
    /**
     * Reads the document from each control member in turn until one returns the newest acknowledged version.
     * @param timeoutMilliseconds - How long to try.
     * @returns Whether a member returned it in time.
     */
    waitForNewestDocument(timeoutMilliseconds: number): Promise<boolean>;
    /** Gets the loopback address of the control member that accepted the last change; undefined before the first one. */
    getLeaderIp(): string | undefined;
    /**
     * Reads the document from all control members once.
     * @returns What a member returned in place of the newest acknowledged version; undefined where all returned it.
     */
    findUnreadableMember(): Promise<string | undefined>;
    stop(): void;
}
