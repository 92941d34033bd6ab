/*
 * What an engine says of itself.
 */
import { LoadedWeights } from "../protocol";

/** The report of an engine, as of some hundred milliseconds ago. */
export interface EngineReport {
    /** How many orders the engine has taken since its start. */
    orderCount: number;
    /** Whether an order is being carried out. */
    isBusy: boolean;
    /** The weights that it serves. */
    weights: readonly LoadedWeights[];
}
