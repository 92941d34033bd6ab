/*
 * The weights that should answer a model's requests.
 */

/** A named version of a model's weights. */
export interface DesiredWeights {
    /** The version. */
    weightsVersion: number;
    /** How long ago it was named, in milliseconds. */
    ageMilliseconds: number;
}
