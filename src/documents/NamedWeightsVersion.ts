/*
 * The weights that an operator wants in service.
 */

/** A version of a model's weights that was named. */
export interface NamedWeightsVersion {
    /** The model's name. */
    model: string;
    /** The version of its weights. */
    weightsVersion: number;
    /** When it was named, by the leader's clock, in milliseconds since the epoch. */
    timeMilliseconds: number;
}
