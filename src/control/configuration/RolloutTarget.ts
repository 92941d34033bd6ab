/*
 * The target of the rollout of one model.
 */

/** The desired state of a model's backend servers. */
export interface RolloutTarget {
    /** The weights version that the backend servers should serve. */
    version: string;
    /** The adapters that the backend servers should have loaded. */
    adapters?: readonly string[];
    /** The minimum share of the backend servers that must stay in service during the rollout, from 0 to 1. */
    capacityFloor?: number;
    /** The desired role of each backend server, by instance id; `both` if absent. */
    roles?: Readonly<Record<string, string>>;
}
