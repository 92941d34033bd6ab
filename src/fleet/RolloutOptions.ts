/*
 * The options of weights rollouts.
 */
import { ReplicatedLog } from "../control/consensus";
import { DocumentState } from "../documents";
import { Logger } from "../logging";
import { Metrics } from "../metrics";
import { Clock } from "../runtime";
import { EngineClient } from "./EngineClient";
import { FleetTracker } from "./FleetTracker";

/** The options of the rollout task and of the single loads. */
export interface RolloutOptions {
    /** Provides the named weights versions. */
    documents: Pick<DocumentState, "getNamedWeights">;
    /** Provides the engines and records their weights and loads. */
    fleetTracker: FleetTracker;
    /** Reads reports of engines and sends them orders. */
    engineClient: EngineClient;
    /** Confirms leadership; its term is the fencing token of orders. */
    log: Pick<ReplicatedLog, "readBarrier" | "getStatus">;
    /** Returns whether entry processes report an engine as unresponsive, by its instance id. */
    isReportedUnresponsive(instanceId: string): boolean;
    /** The instance id of this process, which its orders name as their holder. */
    holder: string;
    /**
     * How long a new leader sends no orders, in milliseconds, so that the orders of two holders never alternate.
     */
    handoverMilliseconds: number;
    /** Provides the time and the delays. */
    clock: Clock;
    /** Logs the orders and the results of loads. */
    logger: Logger;
    /** Counts failures of background tasks. */
    metrics: Pick<Metrics, "countTaskFailure">;
    /** Stops the tasks. */
    signal: AbortSignal;
}
