/*
 * What the leader asks of engines, behind whatever protocol they speak.
 */
import { FleetInstance } from "../protocol";
import { EngineReport } from "./EngineReport";
import { WeightsOrder } from "./WeightsOrder";
import { WeightsOrderOutcome } from "./WeightsOrderOutcome";

/** Speaks with engines. */
export interface EngineClient {
    /** Reads an engine's report; undefined where it does not answer. */
    readReport(instance: FleetInstance, signal: AbortSignal): Promise<EngineReport | undefined>;
    /** Orders an engine to take new weights. */
    orderWeights(order: WeightsOrder, signal: AbortSignal): Promise<WeightsOrderOutcome>;
}
