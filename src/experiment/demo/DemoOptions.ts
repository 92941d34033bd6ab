/*
 * What a demonstration's workload is run from.
 */
import { Clock } from "../../runtime";
import { RunLogEntry } from "../../standIns";
import { FleetGroundTruth } from "../policies";
import { Workload } from "../workloads";
import { DemoAction } from "./DemoAction";
import { DemoProgress } from "./DemoProgress";

/** The options of a demonstration's workload. */
export interface DemoOptions {
    /** The workload. */
    workload: Workload;
    /** Gets the addresses that callers connect to, as `http://ip:port`. */
    getAddresses(): readonly string[];
    /** Gets the services' runs, over all replicas. */
    getRuns(): readonly RunLogEntry[];
    /** What the engines hold and compute, for the waste; not shown where absent. */
    groundTruth?: FleetGroundTruth;
    /** What happens meanwhile. */
    actions: readonly DemoAction[];
    /** The clock. */
    clock: Clock;
    /** Hears how far the workload is, several times a second. */
    onProgress(progress: DemoProgress): void;
}
