/*
 * A simulated backend server of a soak.
 */

/** A stand-in for an engine or for a plain service. */
export interface SoakBackend {
    /**
     * Gets the backend server's entry of the platform's list.
     * @param address - The address under which it is listed, that of the proxy in front of it.
     */
    getListEntry(address: string): object;
    /** The address that it listens on, as `ip:port`. */
    readonly address: string;
    /** Resets all connections, drops its orders and continues under a new instance id. */
    crash(): void;
    /** Closes all connections and stops listening. */
    stop(): void;
}
