/*
 * Tells when a peer's task ends.
 */
import { PeerTask } from "./PeerTask";

/**
 * Tells whether a peer's task still has something to do.
 * @param task - The task.
 */
export function isPeerTaskActive(task: PeerTask): boolean {
    return task.state.leads(task.term) && !task.progress.isRemoved;
}
