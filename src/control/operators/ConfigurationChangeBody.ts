/*
 * The body of an operator's request that changes the configuration.
 */

/** A change of the configuration, as JSON. */
export interface ConfigurationChangeBody {
    /** The id of the change; a change that is sent again under the same id is applied only once. */
    changeId: string;
    /** The configuration revision that the change was made for; any other current revision is a conflict. */
    expectedRevision: number;
    /** The operations, applied in this order and atomically. */
    operations: readonly {
        /** The level's path. */
        level: string;
        /** The setting's dotted name; absent for the whole level. */
        setting?: string;
        /** The new value; absent to unset the setting. */
        value?: unknown;
        /** Whether the level and all levels below it are removed. */
        removeLevel?: boolean;
    }[];
}
