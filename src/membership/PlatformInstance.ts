/*
 * Declares one item of the platform's list of instances.
 */

/** An instance as the platform lists it, possibly with a delay. */
export interface PlatformInstance {
    /** The instance's id. */
    instanceId: string;
    /** Whether the platform is about to remove the instance. */
    isLeaving: boolean;
    /** The internal address of the process on it, as `ip:port`, if the platform lists it. */
    address?: string;
}
