/*
 * Processes the fields that every response of a peer has, whatever the request was.
 */
import { isPeerTaskActive } from "./isPeerTaskActive";
import { PeerResponse } from "./PeerResponse";
import { PeerTask } from "./PeerTask";
import { SentMessage } from "./SentMessage";

/**
 * Checks the identity and the term of a peer's response, and records when the acknowledged message was sent.
 * @param task - The peer's replication task.
 * @param response - The response; undefined where none arrived.
 * @param sent - When the message was sent, and the promise it asked for.
 * @returns Whether the peer responded as a follower of this leader in its term.
 */
export function recordResponse(
    task: PeerTask,
    response: PeerResponse | undefined,
    sent: SentMessage,
): boolean {
    const { state, term, progress, onResponse } = task;
    if (!response || !isPeerTaskActive(task)) {
        return false;
    }
    progress.isReplaced = response.memberId !== progress.memberId;
    if (progress.isReplaced) {
        onResponse();
        return false;
    }
    if (response.term > term) {
        state.observeTerm(response.term);
        return false;
    }
    if (response.term < term) {
        return false;
    }
    // A heartbeat overtakes an earlier message, whose response arrives later.
    progress.acknowledgedSendMilliseconds = Math.max(
        progress.acknowledgedSendMilliseconds ?? -Infinity,
        sent.sentMilliseconds,
    );
    const granted = response.promiseMilliseconds || state.timing.minimumElectionTimeoutMilliseconds;
    const promised = { ...sent, promiseMilliseconds: Math.min(sent.promiseMilliseconds, granted) };
    if (!progress.promised || getPromiseEnd(promised) >= getPromiseEnd(progress.promised)) {
        progress.promised = promised;
    }
    return true;
}

function getPromiseEnd({ sentMilliseconds, promiseMilliseconds }: SentMessage): number {
    return sentMilliseconds + promiseMilliseconds;
}
