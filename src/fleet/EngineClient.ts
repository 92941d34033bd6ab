/*
 * The calls that the leader makes to engines. The platform implements them in the engines' protocol.
 */
import { FleetInstance } from "../protocol";
import { EngineReport } from "./EngineReport";
import { WeightsOrder } from "./WeightsOrder";
import { WeightsOrderOutcome } from "./WeightsOrderOutcome";

/** Reads reports of engines and sends them orders. */
export interface EngineClient {
    /**
     * Reads an engine's report.
     * @param instance - The engine.
     * @param signal - Cancels the call.
     * @returns The report, or undefined if the call failed.
     */
    readReport(instance: FleetInstance, signal: AbortSignal): Promise<EngineReport | undefined>;
    /**
     * Orders an engine to load new weights. A failure is returned as an outcome, not thrown.
     * @param order - The order.
     * @param signal - Cancels the call; the engine may carry out the order nevertheless.
     */
    orderWeights(order: WeightsOrder, signal: AbortSignal): Promise<WeightsOrderOutcome>;
}
