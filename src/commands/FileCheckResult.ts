/*
 * The result of checking a file.
 */

/** The kind of a file and its problems. */
export interface FileCheckResult {
    /** The kind that the content was recognised as; `file` where it could not be read or is not JSON. */
    contentKind: "settings" | "configuration" | "file";
    /** The problems, one line each; empty where the file is valid. */
    problems: readonly string[];
}
