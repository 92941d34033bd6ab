/*
 * Whether an entry that has just started can serve yet.
 */

/** Opens once the entry has been able to serve. */
export interface StartupGate {
    /** Tells whether the entry has been able to serve since its start. */
    isOpen(): boolean;
    /**
     * Waits until the entry can serve, but not for long.
     * @returns Whether there is a configuration at all.
     */
    waitUntilOpen(): Promise<boolean>;
}
