/*
 * What a mutation check breaks.
 */

/** A change to the source that breaks one rule. */
export interface Mutation {
    /** The rule that is broken. */
    rule: string;
    /** The file, below the folder of the rules. */
    file: string;
    /** The text that is replaced; it has to stand in the file. */
    originalText: string;
    /** What stands there instead. */
    replacement: string;
}
