/*
 * The outcome of applying a snapshot or a delta to a configuration view.
 */

/** The outcome of an update, with the view's revision after it. */
export type ViewUpdateOutcome =
    /** The view was updated to the revision. */
    | { kind: "applied"; revision: bigint; }
    /** The view already had the revision. */
    | { kind: "unchanged"; revision: bigint; }
    /** The update is older than the view and was ignored. */
    | { kind: "stale"; revision: bigint; }
    /** The update does not directly follow the view's revision or can't be parsed; the view needs a snapshot. */
    | { kind: "snapshotNeeded"; revision: bigint; reason: string; };
