/*
 * Sends a peer the entries that it is missing.
 */
import { create } from "@bufbuild/protobuf";
import { AppendRequestSchema } from "../../protocol";
import { PeerTask } from "./PeerTask";
import { recordResponse } from "./recordResponse";
import { recordSending } from "./recordSending";
import { runWithHeartbeats } from "./runWithHeartbeats";

/**
 * Sends a peer the entries from its next index on; a message without entries is a heartbeat.
 * @param task - The peer's replication task.
 * @returns Whether the peer responded as a follower of this leader.
 */
export async function sendEntries(task: PeerTask): Promise<boolean> {
    const { state, term, progress, onResponse } = task;
    const { options: { group, address, storage, peers }, limits } = state;
    const previousIndex = progress.nextIndex - 1n;
    // Entries that the peer is storing are sent again alone: with new ones, each repetition would take as long again.
    const entries = storage.getEntries(progress.nextIndex, limits.maximumMessageBytes)
        .filter(({ index }) => index <= (progress.unansweredIndex ?? index));
    const commitIndex = state.getCommitIndex();
    const sent = recordSending(state);
    const request = create(AppendRequestSchema, {
        group,
        term,
        leaderId: storage.memberId,
        leaderAddress: address,
        previousIndex,
        previousTerm: storage.getTerm(previousIndex) ?? 0n,
        commitIndex,
        entries: [...entries],
        recipientId: progress.memberId,
        promiseMilliseconds: sent.promiseMilliseconds,
    });
    progress.lastSendMilliseconds = sent.sentMilliseconds;
    progress.lastSentCommitIndex = commitIndex;
    const response = await runWithHeartbeats(task, () => peers.appendEntries(progress.address, request));
    progress.unansweredIndex = response ? undefined : entries.at(-1)?.index;
    if (!recordResponse(task, response, sent)) {
        return false;
    }
    const { accepted, lastIndex } = response!;
    if (accepted) {
        progress.matchIndex = lastIndex > progress.matchIndex ? lastIndex : progress.matchIndex;
        progress.nextIndex = progress.matchIndex + 1n;
    }
    else {
        const hint = lastIndex < previousIndex ? lastIndex + 1n : previousIndex;
        progress.nextIndex = hint > progress.matchIndex ? hint : progress.matchIndex + 1n;
    }
    onResponse();
    return true;
}
