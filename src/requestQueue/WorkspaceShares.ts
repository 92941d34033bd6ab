/*
 * The shares of the workspaces that wait.
 */
import { QueueDemand } from "./QueueDemand";

/** Decides whose request is started next. */
export interface WorkspaceShares {
    /**
     * Chooses the workspace that has received the least for its share.
     * @param demands - The requests that may be started, at least one.
     * @returns The workspace's name.
     */
    choose(demands: readonly QueueDemand[]): string;
    /** Records that a request is started. */
    recordStart(demand: QueueDemand): void;
    /** Forgets what the workspaces have received; called when none waits. */
    reset(): void;
}
