/*
 * Assembles the parts of a leader's snapshot, checks each, and installs the snapshot once it is complete. A duplicate
 * or out-of-order part is refused with the offset that is expected next.
 */
import { create } from "@bufbuild/protobuf";
import { crc32 } from "node:zlib";
import { SnapshotPart, SnapshotPartResponse, SnapshotPartResponseSchema } from "../../protocol";
import { StoredSnapshot } from "../storage";
import { Applier } from "./Applier";
import { ConsensusState } from "./ConsensusState";
import { SnapshotReceiver } from "./SnapshotReceiver";

/** The offset in a response that tells the leader that no further part is needed. */
const completeOffset = 0xffff_ffff_ffff_ffffn;

interface IncomingSnapshot {
    /** The term of the leader that sends the snapshot. */
    term: bigint;
    /** The index of the last entry that the snapshot covers. */
    index: bigint;
    /** The term of that entry. */
    snapshotTerm: bigint;
    /** The parts received, in order. */
    parts: Uint8Array[];
    /** The size of the parts received, in bytes. */
    byteCount: number;
}

/**
 * Creates the follower side of snapshot installation.
 * @param state - The member's state.
 * @param applier - Restores the state machine from the snapshot.
 */
export function createSnapshotReceiver(state: ConsensusState, applier: Applier): SnapshotReceiver {
    const { options: { group, storage, logger } } = state;
    let incoming: IncomingSnapshot | undefined;
    return { handleSnapshotPart };

    async function handleSnapshotPart(part: SnapshotPart): Promise<SnapshotPartResponse | undefined> {
        if (state.isStopped()) {
            return undefined;
        }
        const isAddressedToMember = part.group === group && part.recipientId === storage.memberId;
        if (!isAddressedToMember || part.term < state.getTerm()) {
            return getResponse(part, false, 0n);
        }
        state.observeTerm(part.term);
        state.followLeader(part.leaderAddress, part.promiseMilliseconds);
        return state.logQueue.run(() => appendPart(part));
    }

    async function appendPart(part: SnapshotPart): Promise<SnapshotPartResponse | undefined> {
        if (state.getTerm() !== part.term) {
            return getResponse(part, false, 0n);
        }
        if (!await state.persist()) {
            return undefined;
        }
        if (part.snapshotIndex <= state.getCommitIndex()) {
            return getResponse(part, true, completeOffset);
        }
        const snapshot = getOrStartIncoming(part);
        const isExpected = part.offset === BigInt(snapshot.byteCount) && crc32(part.data) === part.checksum;
        if (!isExpected) {
            return getResponse(part, false, BigInt(snapshot.byteCount));
        }
        snapshot.parts.push(part.data);
        snapshot.byteCount += part.data.length;
        if (part.last && !await installSnapshot(part, Buffer.concat(snapshot.parts))) {
            return undefined;
        }
        state.followLeader(part.leaderAddress, part.promiseMilliseconds);
        const isCurrent = state.getTerm() === part.term;
        return getResponse(part, isCurrent, part.last ? completeOffset : BigInt(snapshot.byteCount));
    }

    /** Gets the incoming snapshot that a part belongs to; a part of another snapshot discards the parts so far. */
    function getOrStartIncoming(part: SnapshotPart): IncomingSnapshot {
        const { term, snapshotIndex: index, snapshotTerm } = part;
        const isSame = incoming?.term === term && incoming.index === index && incoming.snapshotTerm === snapshotTerm;
        if (!incoming || !isSame) {
            incoming = { term, index, snapshotTerm, parts: [], byteCount: 0 };
        }
        return incoming;
    }

    /** Stores a complete snapshot and replaces the member's state with it. */
    async function installSnapshot(part: SnapshotPart, data: Uint8Array): Promise<boolean> {
        incoming = undefined;
        const snapshot: StoredSnapshot = {
            index: part.snapshotIndex,
            term: part.snapshotTerm,
            members: part.members!,
            data,
        };
        const isLogContinued = storage.getTerm(snapshot.index) === snapshot.term;
        const outcome = await storage.setSnapshot(snapshot);
        if (outcome.kind === "failed") {
            state.fail(outcome.reason);
            return false;
        }
        if (isLogContinued) {
            state.members.discardBefore(snapshot.index);
        }
        else {
            state.members.reset(snapshot.index, snapshot.members);
        }
        await applier.restore(snapshot);
        state.advanceCommitIndex(snapshot.index);
        state.notifyStateChange();
        logger.info({ index: String(snapshot.index), bytes: data.length }, "installed a snapshot");
        return true;
    }

    function getResponse(
        { promiseMilliseconds: askedPromiseMilliseconds }: SnapshotPart,
        accepted: boolean,
        nextOffset: bigint,
    ): SnapshotPartResponse {
        return create(SnapshotPartResponseSchema, {
            term: state.getTerm(),
            accepted,
            nextOffset,
            memberId: storage.memberId,
            promiseMilliseconds: state.getGrantedPromise(askedPromiseMilliseconds),
        });
    }
}
