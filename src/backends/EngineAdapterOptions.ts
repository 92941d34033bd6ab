/*
 * The options of createEngineAdapter.
 */

/** The options of an engine's adapter. */
export interface EngineAdapterOptions {
    /** The engine's address, as `http://ip:port`. */
    address: string;
}
