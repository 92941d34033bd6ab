/*
 * Keeps a leader and a peer in contact while the peer stores what it was sent. A sync of the peer's disk may take longer
 * than the leader's lease and the peer's election timeout, and neither may depend on the speed of a disk.
 */
import { create } from "@bufbuild/protobuf";
import { HeartbeatRequestSchema } from "../../protocol";
import { abortWait, detach } from "../../runtime";
import { isPeerTaskActive } from "./isPeerTaskActive";
import { PeerTask } from "./PeerTask";
import { recordResponse } from "./recordResponse";
import { recordSending } from "./recordSending";

/**
 * Sends a message that the peer's disk has to store, and heartbeats until it is answered. A message that is answered
 * within a heartbeat interval causes none.
 * @param task - The peer's replication task.
 * @param send - Sends the message and waits for its response.
 * @returns The response to the message.
 */
export async function runWithHeartbeats<T>(task: PeerTask, send: () => Promise<T>): Promise<T> {
    const { state, term, progress, onResponse } = task;
    const { options: { group, address, clock, peers }, timing } = state;
    const answered = new AbortController();
    detach(sendHeartbeats());
    try {
        return await send();
    }
    finally {
        abortWait(answered);
    }

    async function sendHeartbeats(): Promise<void> {
        await clock.sleep(timing.heartbeatIntervalMilliseconds, answered.signal);
        while (!answered.signal.aborted && isPeerTaskActive(task)) {
            detach(sendHeartbeat());
            await clock.sleep(timing.heartbeatIntervalMilliseconds, answered.signal);
        }
    }

    async function sendHeartbeat(): Promise<void> {
        const sent = recordSending(state);
        const request = create(HeartbeatRequestSchema, {
            group,
            term,
            leaderAddress: address,
            recipientId: progress.memberId,
            promiseMilliseconds: sent.promiseMilliseconds,
        });
        const response = await peers.sendHeartbeat(progress.address, request);
        if (recordResponse(task, response, sent)) {
            onResponse();
        }
    }
}
