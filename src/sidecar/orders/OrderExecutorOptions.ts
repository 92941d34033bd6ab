/*
 * What an order gate works with.
 */
import { EngineAdapter } from "../../backends";
import { ControlClient } from "../../control";
import { Logger } from "../../logging";
import { Metrics } from "../../metrics";
import { Order } from "../../protocol";
import { Clock } from "../../runtime";
import { OrderTiming } from "./OrderTiming";

/** The options of an order gate. */
export interface OrderExecutorOptions {
    /** The sidecar's instance id. */
    sidecarId: string;
    /** The sidecar's incarnation, different after each restart. */
    incarnation: string;
    /** The control members. */
    control: ControlClient;
    /** The engine that orders are passed on to. */
    engine: Pick<EngineAdapter, "execute" | "getLoad">;
    /** The passing of time. */
    clock: Clock;
    /** Where orders are logged. */
    logger: Logger;
    /** Where orders are counted. */
    metrics: Metrics;
    /**
     * Takes the engine out of service before an order that interrupts it: admits no new work and waits for the work in
     * flight. The function that it gives puts the engine back; undefined where work did not end in time.
     */
    pauseWork?(order: Order, signal: AbortSignal): Promise<(() => void) | undefined>;
    /** Tries the engine after an order; gets what is wrong, or undefined where it is healthy. */
    checkHealth?(order: Order, signal: AbortSignal): Promise<string | undefined>;
    /** The gate's times. */
    timing?: Partial<OrderTiming>;
}
