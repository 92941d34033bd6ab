/*
 * A leader's replication task for one peer: it sends new entries, heartbeats when there are none, and a snapshot where
 * the log no longer holds the entries that the peer needs. One message is in flight at a time; entries appended
 * meanwhile are sent with the next.
 */
import { isPeerTaskActive } from "./isPeerTaskActive";
import { PeerTask } from "./PeerTask";
import { sendEntries } from "./sendEntries";
import { sendSnapshot } from "./sendSnapshot";

/**
 * Replicates the log to one peer until the member stops leading the term or the peer is removed.
 * @param task - The peer's replication task.
 */
export async function runPeerReplication(task: PeerTask): Promise<void> {
    const { state, progress } = task;
    const { options: { storage, clock }, timing } = state;
    while (isPeerTaskActive(task)) {
        const hasEntries = storage.getTerm(progress.nextIndex - 1n) !== undefined;
        const isAcknowledged = hasEntries ? await sendEntries(task) : await sendSnapshot(task);
        if (!isPeerTaskActive(task)) {
            return;
        }
        if (!isAcknowledged) {
            await clock.sleep(timing.heartbeatIntervalMilliseconds / 2);
        }
        else if (isUpToDate()) {
            const nextHeartbeatMilliseconds = progress.lastSendMilliseconds + timing.heartbeatIntervalMilliseconds;
            await state.logSignal.wait(nextHeartbeatMilliseconds - clock.getMonotonicMilliseconds());
        }
    }

    /** Returns whether the peer has acknowledged all entries and was sent the current commit index. */
    function isUpToDate(): boolean {
        return progress.nextIndex > storage.getLastIndex() && progress.lastSentCommitIndex >= state.getCommitIndex();
    }
}
