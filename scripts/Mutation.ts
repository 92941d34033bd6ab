/*
 * One mutation of the source, as the mutation checks apply it.
 */

/** A replacement of source text that breaks one rule; the tests are expected to detect it. */
export interface Mutation {
    /** The rule that the mutation breaks, as a sentence. */
    rule: string;
    /** The path of the file, relative to the source folder of the check. */
    file: string;
    /** The text that is replaced, at its first occurrence; the file must contain it. */
    originalText: string;
    /** The text that replaces it. */
    replacement: string;
}
