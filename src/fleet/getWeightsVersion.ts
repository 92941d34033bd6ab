/*
 * Looks up the weights that a backend server serves.
 */
import { FleetInstance } from "../protocol";

/** Gets the version of a model's weights at a backend server; undefined where it does not serve the model. */
export function getWeightsVersion(instance: Pick<FleetInstance, "weights">, model: string): number | undefined {
    return instance.weights.find(loaded => loaded.model === model)?.weightsVersion;
}
