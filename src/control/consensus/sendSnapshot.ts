/*
 * Sends a peer the newest snapshot in parts, where the log no longer holds the entries that the peer needs.
 */
import { create } from "@bufbuild/protobuf";
import { crc32 } from "node:zlib";
import { SnapshotPartSchema } from "../../protocol";
import { isPeerTaskActive } from "./isPeerTaskActive";
import { PeerTask } from "./PeerTask";
import { recordResponse } from "./recordResponse";
import { recordSending } from "./recordSending";
import { runWithHeartbeats } from "./runWithHeartbeats";

/**
 * Sends a peer the newest snapshot, and waits until it is installed.
 * @param task - The peer's replication task.
 * @returns Whether the peer has installed the snapshot.
 */
export async function sendSnapshot(task: PeerTask): Promise<boolean> {
    const { state, term, progress, onResponse } = task;
    const { options: { group, storage, peers, logger }, limits } = state;
    const snapshot = storage.getSnapshot();
    if (!snapshot) {
        return false;
    }
    const { index, data } = snapshot;
    logger.info({ peer: progress.memberId, index: String(index), bytes: data.length }, "sending a snapshot");
    let offset = 0;
    let isComplete = false;
    while (!isComplete) {
        const part = data.subarray(offset, offset + limits.snapshotPartBytes);
        const sent = recordSending(state);
        progress.lastSendMilliseconds = sent.sentMilliseconds;
        const request = create(SnapshotPartSchema, {
            group,
            term,
            leaderId: storage.memberId,
            leaderAddress: state.options.address,
            snapshotIndex: index,
            snapshotTerm: snapshot.term,
            members: snapshot.members,
            offset: BigInt(offset),
            data: part,
            last: offset + part.length >= data.length,
            checksum: crc32(part),
            recipientId: progress.memberId,
            promiseMilliseconds: sent.promiseMilliseconds,
        });
        const response = await runWithHeartbeats(task, () => peers.installSnapshot(progress.address, request));
        if (!recordResponse(task, response, sent) || !isPeerTaskActive(task)) {
            return false;
        }
        onResponse();
        const { accepted, nextOffset } = response!;
        isComplete = accepted && nextOffset >= BigInt(data.length);
        if (!isComplete && Number(nextOffset) === offset) {
            return false;
        }
        offset = Number(nextOffset);
    }
    progress.matchIndex = index > progress.matchIndex ? index : progress.matchIndex;
    progress.nextIndex = progress.matchIndex + 1n;
    return true;
}
