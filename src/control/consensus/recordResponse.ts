/*
 * What every answer of a peer tells its leader, whatever the question was.
 */
import { isPeerTaskActive } from "./isPeerTaskActive";
import { PeerResponse } from "./PeerResponse";
import { PeerTask } from "./PeerTask";

/**
 * Takes note of a peer's answer.
 * @param task - The peer's task.
 * @param response - The answer, where one came.
 * @param sentMilliseconds - When the message was sent, in monotonic milliseconds.
 * @param sentWallMilliseconds - When that was by the wall clock.
 * @returns Whether the peer answered as a follower of this leader.
 */
export function recordResponse(
    task: PeerTask,
    response: PeerResponse | undefined,
    sentMilliseconds: number,
    sentWallMilliseconds: number,
): boolean {
    const { state, term, progress } = task;
    if (!response || !isPeerTaskActive(task)) {
        return false;
    }
    progress.isReplaced = response.memberId !== progress.memberId;
    if (progress.isReplaced) {
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
