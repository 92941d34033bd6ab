/*
 * The options of a demonstration's workload.
 */
import { Clock } from "../../runtime";
import { RunLogEntry } from "../../standIns";
import { FleetGroundTruth } from "../policies";
import { Workload } from "../workloads";
import { DemoAction } from "./DemoAction";
import { DemoProgress } from "./DemoProgress";

/** The options of a demonstration's workload. */
export interface DemoOptions {
    /** The requests to send. */
    workload: Workload;
    /** Gets the addresses that callers connect to, as `http://ip:port`. */
    getAddresses(): readonly string[];
    /** Gets the calls that the services ran, over all replicas. */
    getRuns(): readonly RunLogEntry[];
    /** The engines' cached blocks and computed tokens, for the wasted recomputation; it is not reported if absent. */
    groundTruth?: FleetGroundTruth;
    /** The actions to take while the workload runs. */
    actions: readonly DemoAction[];
    /** The clock by which requests are sent and times are measured. */
    clock: Clock;
    /** Is called with the workload's progress, several times a second. */
    onProgress(progress: DemoProgress): void;
}
