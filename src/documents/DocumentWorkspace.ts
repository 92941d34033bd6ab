/*
 * A workspace of a routing document: a group of callers that authenticate with its API keys.
 */
import { WorkspaceQuota } from "./WorkspaceQuota";

/** A workspace. */
export interface DocumentWorkspace {
    /** The workspace's name. */
    name: string;
    /** The API keys with which its callers authenticate. */
    apiKeys: readonly string[];
    /** The priority among workspaces; 0 is the most urgent. It takes precedence over the priority of routes. */
    priority: number | undefined;
    /** Whether the workspace shares no cached prefix with other workspaces. */
    isIsolated: boolean;
    /** The limit on its requests over all entry processes together; undefined where it has none. */
    quota: WorkspaceQuota | undefined;
}
