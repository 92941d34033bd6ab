/*
 * A weights version that an operator has named, so that engines are to load it.
 */

/** A named version of a model's weights. */
export interface NamedWeightsVersion {
    /** The model's name. */
    model: string;
    /** The version of its weights. */
    weightsVersion: number;
    /** The time at which the version was named, by the leader's clock, in milliseconds since the Unix epoch. */
    timeMilliseconds: number;
}
