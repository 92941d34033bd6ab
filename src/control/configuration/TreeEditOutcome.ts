/*
 * The outcome of a transaction on the configuration tree.
 */
import { LevelChange } from "./LevelChange";

/** The outcome of a transaction, which takes effect completely or not at all. */
export type TreeEditOutcome =
    /** The transaction is valid. Its changes are sorted so that a level comes before its descendants. */
    | { kind: "edited"; changes: readonly LevelChange[]; }
    /** The transaction is invalid and has no effect. */
    | { kind: "invalid"; problems: readonly string[]; };
