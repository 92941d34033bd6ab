/*
 * The boundary within which cached prefixes are shared.
 */

/** The scope of a prefix; cached blocks of another workspace, model or weights version are never reused. */
export interface PrefixScope {
    /** The workspace that the prompt belongs to. */
    workspace: string;
    /** The model's name. */
    model: string;
    /** The version of the model's weights. */
    version: string;
}
