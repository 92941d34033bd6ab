/*
 * The parameters and dependencies of an order executor.
 */
import { EngineAdapter } from "../../backends";
import { ControlClient } from "../../control";
import { Logger } from "../../logging";
import { Metrics } from "../../metrics";
import { Order } from "../../protocol";
import { Clock } from "../../runtime";
import { OrderTiming } from "./OrderTiming";

/** The options of an order executor. */
export interface OrderExecutorOptions {
    /** The sidecar's instance id. */
    sidecarId: string;
    /** The sidecar's incarnation, different after each restart. */
    incarnation: string;
    /** The client of the control members, which confirm orders and commit their conclusions. */
    control: ControlClient;
    /** The engine that orders are passed on to. */
    engine: Pick<EngineAdapter, "execute" | "getLoad">;
    /** The clock that timeouts are measured by. */
    clock: Clock;
    /** Logs the conclusions of orders and failures to handle them. */
    logger: Logger;
    /** Counts refused, completed and failed orders. */
    metrics: Metrics;
    /**
     * Takes the engine out of service before an order that interrupts it: refuses new requests and waits for those in
     * flight. Returns a function that puts the engine back in service; undefined if the requests did not end in time.
     */
    pauseWork?(order: Order, signal: AbortSignal): Promise<(() => void) | undefined>;
    /** Checks the engine after an order. Returns a description of the problem; undefined if the engine is healthy. */
    checkHealth?(order: Order, signal: AbortSignal): Promise<string | undefined>;
    /** Timeouts and intervals that differ from the defaults. */
    timing?: Partial<OrderTiming>;
}
