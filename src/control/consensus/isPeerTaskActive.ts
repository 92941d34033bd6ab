/*
 * The condition under which a peer's replication task continues.
 */
import { PeerTask } from "./PeerTask";

/**
 * Returns whether the member still leads in the task's term and the peer is not removed.
 * @param task - The peer's replication task.
 */
export function isPeerTaskActive(task: PeerTask): boolean {
    return task.state.leads(task.term) && !task.progress.isRemoved;
}
