/*
 * Records which engines do not respond to the leader.
 */

/** The engines that have recently not responded. */
export interface UnresponsiveEngines {
    /**
     * Records that an engine has not responded, which excludes it from loads for a short time.
     * @param instanceId - The engine's instance id.
     */
    record(instanceId: string): void;
    /**
     * Checks whether an engine has recently not responded.
     * @param instanceId - The engine's instance id.
     */
    has(instanceId: string): boolean;
}
