/*
 * How much of a service each workspace has used recently.
 */

/** Tracks the work that each workspace has sent to each service through this entry process. */
export interface WorkspaceUse {
    /**
     * Records work that is sent.
     * @param service - The service.
     * @param workspace - The workspace; empty for requests without a key.
     * @param work - The work, by the workspace's weight: prompt tokens at engines, requests elsewhere.
     */
    record(service: string, workspace: string, work: number): void;
    /** Returns whether a workspace has used more than its share of a service: far more than the mean of the others. */
    isOverShare(service: string, workspace: string): boolean;
}
