/*
 * A workspace of a routing document.
 */

/** A workspace and the keys of its callers. */
export interface DocumentWorkspace {
    /** The workspace's name. */
    name: string;
    /** The keys that its callers show. */
    apiKeys: readonly string[];
    /** The rank among workspaces; 0 is the most urgent. Goes before the rank of routes. */
    priority: number | undefined;
    /** Whether it shares no cached prefix with other workspaces. */
    isIsolated: boolean;
}
