/*
 * The outcome of a configuration change.
 */

/** The outcome of a change, with the tree's revision after it. */
export type ChangeOutcome =
    /** The change was applied and created the revision. */
    | { kind: "accepted"; revision: bigint; }
    /** The change expected another revision; the problems list the changes made since and the current values. */
    | { kind: "conflict"; revision: bigint; problems: readonly string[]; }
    /** The change is invalid and had no effect; the problems say why. */
    | { kind: "invalid"; revision: bigint; problems: readonly string[]; };
