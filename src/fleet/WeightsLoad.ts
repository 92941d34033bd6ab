/*
 * The load of a weights version by one engine.
 */
import { FleetInstance } from "../protocol";

/** Which engine loads which weights version. */
export interface WeightsLoad {
    /** The engine. */
    instance: FleetInstance;
    /** The name of the model. */
    model: string;
    /** The version that the engine is to serve. */
    weightsVersion: number;
}
