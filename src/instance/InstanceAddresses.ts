/*
 * The addresses that a process listens on.
 */

/** The addresses of a process's listeners; undefined for a listener that its settings omit. */
export interface InstanceAddresses {
    /** For other processes, as `ip:port`. */
    internal: string;
    /** For callers, as `ip:port`. */
    callers: string | undefined;
    /** For operators, as `http://ip:port` or `https://ip:port`. */
    operators: string | undefined;
    /** For health checks and metrics, as `ip:port`. */
    administration: string | undefined;
}
