/*
 * The readiness of an entry that has just started.
 */

/** Opens when the entry first becomes able to serve requests, and stays open. */
export interface StartupGate {
    /** Returns whether the entry has been able to serve requests at any time since it started. */
    isOpen(): boolean;
    /**
     * Waits until the entry can serve requests, at most until a fixed time after its start.
     * @returns Whether the entry has a configuration.
     */
    waitUntilOpen(): Promise<boolean>;
}
