/*
 * The search for the sidecar that can serve one request soonest.
 */
import { RouteEstimate } from "./RouteEstimate";
import { RouteStep } from "./RouteStep";

/** Decides where one request is sent next. */
export interface RouteSearch {
    /** Gets the next sidecar to send the request to; undefined where all are excluded. */
    getNext(): RouteStep | undefined;
    /**
     * Records the estimate of a sidecar that refused the request in favour of a sibling.
     * @param instanceId - The sidecar's instance id.
     * @param estimate - What the request would cost there.
     */
    addEstimate(instanceId: string, estimate: RouteEstimate): void;
    /**
     * Removes a sidecar from the search, since it failed or refuses the request at any cost.
     * @param instanceId - The sidecar's instance id.
     */
    exclude(instanceId: string): void;
}
