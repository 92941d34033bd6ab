/*
 * A weights version that engines should serve, as an entry process sees it.
 */

/** A version of a model's weights that an operator has named. */
export interface DesiredWeights {
    /** The version. */
    weightsVersion: number;
    /** The time since the version was named, in milliseconds. */
    ageMilliseconds: number;
}
