/*
 * The state that an engine reports about itself.
 */
import { LoadedWeights } from "../protocol";

/** A report of an engine; its content may be some hundred milliseconds old. */
export interface EngineReport {
    /** The number of orders that the engine has accepted since its start. */
    orderCount: number;
    /** Whether the engine is carrying out an order. */
    isBusy: boolean;
    /** The weights that the engine serves. */
    weights: readonly LoadedWeights[];
}
