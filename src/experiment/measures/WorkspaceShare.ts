/*
 * What one workspace asked for and got.
 */

/** The share of one workspace. */
export interface WorkspaceShare {
    /** The workspace, or the subscriber that asks for far more than its share. */
    name: string;
    /** What it asked for, in prompt tokens. */
    demandTokens: number;
    /** What it got, in prompt tokens. */
    servedTokens: number;
}
