/*
 * The demand and the served tokens of one workspace.
 */

/** The demand of one workspace, or of the subscriber that sends excess traffic, and how much of it was served. */
export interface WorkspaceShare {
    /** The workspace's name, or the path of the subscriber that sends excess traffic. */
    name: string;
    /** The prompt tokens of all its completions. */
    demandTokens: number;
    /** The prompt tokens of its completions that ended within the measured time. */
    servedTokens: number;
}
