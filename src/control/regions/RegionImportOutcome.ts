/*
 * The result of importing another region's change.
 */

/** The outcome of an import. */
export type RegionImportOutcome =
    /** The change is next in order; its operations are to be applied to this region's configuration tree. */
    | { kind: "applied"; }
    /** The change has already been imported. */
    | { kind: "stale"; }
    /** Earlier changes are missing: an import with all workspaces of the home region is needed. */
    | { kind: "completeNeeded"; };
