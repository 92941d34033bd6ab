/*
 * A leader's replication task for one peer: it sends new entries, heartbeats when there are none, and a snapshot where
 * the log no longer holds the entries that the peer needs, or where the peer has an empty log and the snapshot is smaller
 * than the entries. One message is in flight at a time; entries appended
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
        const isAcknowledged = needsSnapshot() ? await sendSnapshot(task) : await sendEntries(task);
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

    function needsSnapshot(): boolean {
        if (storage.getTerm(progress.nextIndex - 1n) === undefined) {
            return true;
        }
        const snapshot = storage.getSnapshot();
        if (progress.nextIndex > 1n || !snapshot || snapshot.index === 0n) {
            return false;
        }
        const entries = storage.getEntries(1n, snapshot.data.length);
        return BigInt(entries.length) < snapshot.index;
    }

    /** Returns whether the peer has acknowledged all entries and was sent the current commit index. */
    function isUpToDate(): boolean {
        return progress.nextIndex > storage.getLastIndex() && progress.lastSentCommitIndex >= state.getCommitIndex();
    }
}
