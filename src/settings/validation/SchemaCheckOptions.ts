/*
 * The options of validating values against a schema.
 */

/** The options of a validation against a schema. */
export interface SchemaCheckOptions {
    /** Whether absent values are set to the schema's defaults, in place. */
    fillsDefaults: boolean;
}
