/*
 * The permission to use one model.
 */

/** Says whether a model may be used, and in which versions. */
export interface ModelPermission {
    /** Whether the model may be used. */
    allowed: boolean;
    /** The versions that a request may ask for; any if absent. */
    versions?: readonly string[];
}
