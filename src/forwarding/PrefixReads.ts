/*
 * Where shared prompt beginnings were read lately.
 */

/** Remembers to which engines this entry sent which beginnings. */
export interface PrefixReads {
    /**
     * Notes that an engine reads a beginning.
     * @param key - The beginning, with the weights and the workspace within which it may be shared.
     * @param instanceId - The engine.
     */
    note(key: string, instanceId: string): void;
    /** Tells whether an engine read a beginning lately, so that it is likely to hold it still. */
    isHeld(key: string, instanceId: string): boolean;
    /** Gets the engines that read a beginning lately, the last one first. */
    getHolders(key: string): readonly string[];
}
