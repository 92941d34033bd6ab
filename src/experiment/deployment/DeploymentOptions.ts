/*
 * What a deployment is started from.
 */
import { Placement } from "../../routing";
import { Clock } from "../../runtime";
import { PrefixIndex, RequestScheduler } from "../../sidecar";
import { FleetObserver } from "../../standIns";
import { Workload } from "../workloads";

/** The options of a deployment. */
export interface DeploymentOptions {
    /** The workload that it will serve. */
    workload: Workload;
    /** How many engines there are. */
    engineCount: number;
    /** How many replicas the plain service has. */
    serviceReplicaCount: number;
    /** How many entries there are. */
    entryCount: number;
    /** The engines' prefill speed in tokens a second. */
    prefillTokensPerSecond: number;
    /** The seed of all randomness. */
    seed: number;
    /** The clock. */
    clock: Clock;
    /** Sees what the engines do. */
    observer: FleetObserver;
    /** Creates an entry's placement. */
    createPlacement(): Placement;
    /** Whether sidecars may refuse in favour of a sibling. */
    mayRedirect: boolean;
    /** Creates a sidecar's scheduler. */
    createScheduler(index: PrefixIndex | undefined): RequestScheduler;
    /** Creates a sidecar's index. */
    createIndex(): PrefixIndex;
}
