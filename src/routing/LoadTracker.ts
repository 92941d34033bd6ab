/*
 * The load of backend servers as one entry process estimates it from its own requests.
 */
import { RoutingObservation } from "./RoutingObservation";

/** Estimates the current load of instances from recent observations. */
export interface LoadTracker {
    /**
     * Updates the load of the instance that an observation is about.
     * @param observation - What the entry process has observed.
     */
    addObservation(observation: RoutingObservation): void;
    /**
     * Gets the expected queueing time at an instance in milliseconds, computed from the wait that its sidecar last
     * reported and the requests that this entry process has in flight there; 0 where nothing was observed.
     * @param instanceId - The sidecar's instance id.
     */
    getExpectedWaitMilliseconds(instanceId: string): number;
    /**
     * Tells whether a request to the instance has failed recently.
     * @param instanceId - The sidecar's instance id.
     */
    hasFailedRecently(instanceId: string): boolean;
}
