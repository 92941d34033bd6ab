/*
 * What a sidecar knows of its backend server.
 */

/** The state of a backend server. */
export interface BackendState {
    /** Whether the backend server answers and may be given work. */
    isReady: boolean;
    /** Whether the backend server is leaving. */
    isLeaving: boolean;
    /** The backend server's incarnation; empty before it first answered. */
    incarnation: string;
    /** The weights version served; empty for plain services and while none is loaded. */
    version: string;
    /** The adapters held. */
    adapters: readonly string[];
    /** The engine's role: `both`, `prefill` or `decode`; empty for plain services. */
    role: string;
}
