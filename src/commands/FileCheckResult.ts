/*
 * What the check of a file found.
 */

/** What a file holds and what is wrong with it. */
export interface FileCheckResult {
    /** What the file was taken for. */
    contentKind: "settings" | "configuration" | "file";
    /** The problems, a line each. */
    problems: readonly string[];
}
