/*
 * Declares the hints that are derived from the platform's list of instances.
 */
import { PlatformInstance } from "./PlatformInstance";

/** Hints from the last list that was read. */
export interface PlatformHints {
    /**
     * Applies a list.
     * @param instances - The instances of the list.
     * @param getIncarnation - Gets the incarnation of an instance that the directory holds.
     * @returns The incarnations that the previous list had as live and this one has as leaving.
     */
    apply(
        instances: readonly PlatformInstance[],
        getIncarnation: (instanceId: string) => string | undefined,
    ): readonly { instanceId: string; incarnation: string; }[];
    /** Returns whether the last list has an instance as leaving. */
    isLeaving(instanceId: string): boolean;
}
