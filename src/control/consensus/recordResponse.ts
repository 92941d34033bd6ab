/*
 * Processes the fields that every response of a peer has, whatever the request was.
 */
import { isPeerTaskActive } from "./isPeerTaskActive";
import { PeerResponse } from "./PeerResponse";
import { PeerTask } from "./PeerTask";

/**
 * Checks the identity and the term of a peer's response, and records when the acknowledged message was sent.
 * @param task - The peer's replication task.
 * @param response - The response; undefined where none arrived.
 * @param sentMilliseconds - When the message was sent, in monotonic milliseconds.
 * @param sentWallMilliseconds - The same time by the wall clock, in milliseconds.
 * @returns Whether the peer responded as a follower of this leader in its term.
 */
export function recordResponse(
    task: PeerTask,
    response: PeerResponse | undefined,
    sentMilliseconds: number,
    sentWallMilliseconds: number,
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
    progress.acknowledgedSendMilliseconds = sentMilliseconds;
    progress.acknowledgedSendWallMilliseconds = sentWallMilliseconds;
    return true;
}
