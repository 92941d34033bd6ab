/*
 * The body with which operators change the configuration.
 */

/** A change of the configuration, as JSON. */
export interface ConfigurationChangeBody {
    /** Identifies a change that is sent again. */
    changeId: string;
    /** The revision that the operator saw. */
    expectedRevision: number;
    /** What is done, in this order, all of it or nothing. */
    operations: readonly {
        /** The level's path. */
        level: string;
        /** The setting's dotted name; absent for the whole level. */
        setting?: string;
        /** The value; absent where the setting is unset. */
        value?: unknown;
        /** Whether the level is removed with all below it. */
        removeLevel?: boolean;
    }[];
}
