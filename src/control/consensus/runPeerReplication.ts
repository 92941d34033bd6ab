/*
 * The task of a leader for one peer: sends entries as they come, a heartbeat when none do, and a snapshot where the log
 * no longer holds what the peer lacks. One message is under way at a time; what gathers meanwhile goes with the next.
 */
import { isPeerTaskActive } from "./isPeerTaskActive";
import { PeerTask } from "./PeerTask";
import { sendEntries } from "./sendEntries";
import { sendSnapshot } from "./sendSnapshot";

/**
 * Keeps one peer up to date for as long as the member leads.
 * @param task - The peer, and the term led.
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

    /** Tells whether the peer was sent all that there is. */
    function isUpToDate(): boolean {
        return progress.nextIndex > storage.getLastIndex() && progress.lastSentCommitIndex >= state.getCommitIndex();
    }
}
