/*
 * Which engines don't answer the leader.
 */

/** Remembers engines that did not answer. */
export interface UnresponsiveEngines {
    /** Notes that an engine does not answer; it is left alone for a while. */
    record(instanceId: string): void;
    /** Tells whether an engine did not answer lately. */
    has(instanceId: string): boolean;
}
