/*
 * The options of a deployment in one process.
 */
import { Placement } from "../../routing";
import { Clock } from "../../runtime";
import { PrefixIndex, RequestScheduler } from "../../sidecar";
import { FleetObserver } from "../../standIns";
import { Workload } from "../workloads";

/** The options of a deployment. */
export interface DeploymentOptions {
    /** The workload to serve; its subscribers are in the configuration. */
    workload: Workload;
    /** The number of engines. */
    engineCount: number;
    /** The number of replicas of the plain service. */
    serviceReplicaCount: number;
    /** The number of entries. */
    entryCount: number;
    /** The prefill rate of each engine, in tokens per second. */
    prefillTokensPerSecond: number;
    /** The seed of all random choices. */
    seed: number;
    /** The clock of all processes and stand-ins. */
    clock: Clock;
    /** The observer of the engines' computations and caches. */
    observer: FleetObserver;
    /** Creates the placement of one entry. */
    createPlacement(): Placement;
    /** Whether a sidecar may refuse a request in favour of another engine. */
    mayRedirect: boolean;
    /**
     * Creates the scheduler of one sidecar.
     * @param index - The prefix index of the sidecar's engine; undefined for a service.
     */
    createScheduler(index: PrefixIndex | undefined): RequestScheduler;
    /** Creates the prefix index of one sidecar. */
    createIndex(): PrefixIndex;
}
