/*
 * Declares access to the platform's list of instances, independent of the platform's protocol.
 */
import { PlatformInstance } from "./PlatformInstance";

/** Reads the platform's list. */
export interface PlatformList {
    /**
     * Reads the current list.
     * @param signal - Aborts the request.
     * @returns The instances, or undefined if the platform doesn't respond.
     */
    getInstances(signal: AbortSignal): Promise<readonly PlatformInstance[] | undefined>;
}
