/*
 * What rollouts of weights are made of.
 */
import { ReplicatedLog } from "../control/consensus";
import { DocumentState } from "../documents";
import { Logger } from "../logging";
import { Clock } from "../runtime";
import { EngineClient } from "./EngineClient";
import { FleetTracker } from "./FleetTracker";

/** The options of rollouts. */
export interface RolloutOptions {
    /** Knows the named weights. */
    documents: Pick<DocumentState, "getNamedWeights">;
    /** Knows the engines. */
    fleetTracker: FleetTracker;
    /** Speaks with the engines. */
    engineClient: EngineClient;
    /** Proves leadership; its term is the fencing token. */
    log: Pick<ReplicatedLog, "readBarrier" | "getStatus">;
    /** The name under which orders are given. */
    holder: string;
    /**
     * How long a new leader gives no orders, in milliseconds, so that the orders of two holders never take turns.
     */
    handoverMilliseconds: number;
    /** The passing of time. */
    clock: Clock;
    /** Where decisions are logged. */
    logger: Logger;
    /** Ends the tasks. */
    signal: AbortSignal;
}
