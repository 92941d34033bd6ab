/*
 * The state of a backend server as last observed by its sidecar.
 */

/** The state of a backend server. */
export interface BackendState {
    /** Whether the backend server responds and can take work. */
    isReady: boolean;
    /** Whether the backend server is leaving and takes no new work. */
    isLeaving: boolean;
    /** The backend server's incarnation; empty until its first response. */
    incarnation: string;
    /** The weights version served; empty for plain services and while none is loaded. */
    version: string;
    /** The adapters that are loaded. */
    adapters: readonly string[];
    /** The engine's role: `both`, `prefill` or `decode`; empty for plain services. */
    role: string;
}
