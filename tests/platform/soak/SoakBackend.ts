/*
 * A backend server of a soak.
 */

/** A stand-in for an engine or for a plain service. */
export interface SoakBackend {
    /** Gets its entry of the platform's list, reached at another address. */
    getListEntry(address: string): object;
    /** Where it listens, as `ip:port`. */
    readonly address: string;
    /** Loses everything in flight and starts anew under another id. */
    crash(): void;
    stop(): void;
}
