/*
 * Looks up the weights version that a backend server serves.
 */
import { FleetInstance } from "../protocol";

/**
 * Gets the version of a model's weights at a backend server; undefined if it does not serve the model.
 * @param instance - The weights that the backend server serves.
 * @param model - The model's name.
 */
export function getWeightsVersion(instance: Pick<FleetInstance, "weights">, model: string): number | undefined {
    return instance.weights.find(loaded => loaded.model === model)?.weightsVersion;
}
