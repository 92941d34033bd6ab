/*
 * An engine chosen to take new weights.
 */
import { FleetInstance } from "../protocol";

/** What to load where. */
export interface WeightsLoad {
    /** The engine. */
    instance: FleetInstance;
    /** The model. */
    model: string;
    /** The version to serve. */
    weightsVersion: number;
}
