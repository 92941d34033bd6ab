/*
 * Where shared prompt beginnings are and were read.
 */

/** Remembers to which engines this entry sent which beginnings. */
export interface PrefillTracker {
    /**
     * Notes that an engine is about to read beginnings.
     * @param requestId - The request that makes it read them.
     * @param keys - The beginnings.
     * @param instanceId - The engine.
     */
    recordPrefillStart(requestId: string, keys: readonly string[], instanceId: string): void;
    /** Notes that what a request made an engine read has been read, or never will be. */
    recordPrefillEnd(requestId: string): void;
    /** Tells whether an engine reads a beginning or read it lately, so that it is likely to hold it still. */
    isLikelyCached(key: string, instanceId: string): boolean;
    /**
     * Gets the engines that read a beginning lately, the last one first.
     * @param key - The beginning.
     * @param maximumAgeMilliseconds - How long ago at the most.
     */
    getHolders(key: string, maximumAgeMilliseconds: number): readonly string[];
    /** Gets the end of the read of a beginning that is under way at some engine; undefined where none is. */
    getPrefillInFlight(key: string): Promise<void> | undefined;
}
