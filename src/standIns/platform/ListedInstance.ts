/*
 * An entry of the platform's list of instances.
 */

/** An instance as the platform lists it. */
export interface ListedInstance {
    /** The instance's id. */
    instanceId: string;
    /** Whether the platform is about to terminate the instance. */
    isLeaving: boolean;
    /** The address of the instance's process, as `ip:port`. */
    address?: string;
}
