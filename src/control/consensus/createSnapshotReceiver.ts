/*
 * Gathers the parts of a leader's snapshot, checks each, and replaces the member's state once all have come. Parts that
 * come twice or out of turn are answered with the offset that is awaited.
 */
import { create } from "@bufbuild/protobuf";
import { crc32 } from "node:zlib";
import { SnapshotPart, SnapshotPartResponse, SnapshotPartResponseSchema } from "../../protocol";
import { StoredSnapshot } from "../storage";
import { Applier } from "./Applier";
import { ConsensusState } from "./ConsensusState";
import { SnapshotReceiver } from "./SnapshotReceiver";

/** The offset that says that nothing more is needed. */
const completeOffset = 0xffff_ffff_ffff_ffffn;

interface IncomingSnapshot {
    term: bigint;
    index: bigint;
    snapshotTerm: bigint;
    parts: Uint8Array[];
    byteCount: number;
}

/**
 * Creates a receiver of snapshots.
 * @param state - The member's state.
 * @param applier - Takes over the snapshot.
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
            return getResponse(false, 0n);
        }
        state.observeTerm(part.term);
        state.followLeader(part.leaderAddress);
        return state.logQueue.run(() => appendPart(part));
    }

    async function appendPart(part: SnapshotPart): Promise<SnapshotPartResponse | undefined> {
        if (state.getTerm() !== part.term) {
            return getResponse(false, 0n);
        }
        if (!await state.persist()) {
            return undefined;
        }
        if (part.snapshotIndex <= state.getCommitIndex()) {
            return getResponse(true, completeOffset);
        }
        const snapshot = getOrStartIncoming(part);
        const isExpected = part.offset === BigInt(snapshot.byteCount) && crc32(part.data) === part.checksum;
        if (!isExpected) {
            return getResponse(false, BigInt(snapshot.byteCount));
        }
        snapshot.parts.push(part.data);
        snapshot.byteCount += part.data.length;
        if (part.last && !await installSnapshot(part, Buffer.concat(snapshot.parts))) {
            return undefined;
        }
        state.followLeader(part.leaderAddress);
        const isCurrent = state.getTerm() === part.term;
        return getResponse(isCurrent, part.last ? completeOffset : BigInt(snapshot.byteCount));
    }

    /** Gets the snapshot that a part belongs to, begun anew where it is another than before. */
    function getOrStartIncoming(part: SnapshotPart): IncomingSnapshot {
        const { term, snapshotIndex: index, snapshotTerm } = part;
        const isSame = incoming?.term === term && incoming.index === index && incoming.snapshotTerm === snapshotTerm;
        if (!incoming || !isSame) {
            incoming = { term, index, snapshotTerm, parts: [], byteCount: 0 };
        }
        return incoming;
    }

    /** Stores a whole snapshot, and takes it over. */
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
        logger.info({ index: String(snapshot.index), bytes: data.length }, "took over a snapshot");
        return true;
    }

    function getResponse(accepted: boolean, nextOffset: bigint): SnapshotPartResponse {
        return create(SnapshotPartResponseSchema, {
            term: state.getTerm(),
            accepted,
            nextOffset,
            memberId: storage.memberId,
        });
    }
}
