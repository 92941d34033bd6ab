/*
 * Stores the entries that a leader sends. Entries are acknowledged only once they and the term are on disk, and only if
 * the term is still the leader's: a member that voted in a later term must not count towards the old leader's majority.
 */
import { create, fromBinary } from "@bufbuild/protobuf";
import { createInvariantError } from "../../errors";
import {
    AppendRequest,
    AppendResponse,
    AppendResponseSchema,
    EntryKind,
    HeartbeatRequest,
    HeartbeatResponse,
    HeartbeatResponseSchema,
    LogEntry,
    MemberSetSchema,
} from "../../protocol";
import { Applier } from "./Applier";
import { ConsensusState } from "./ConsensusState";
import { createSnapshotReceiver } from "./createSnapshotReceiver";
import { Follower } from "./Follower";

/**
 * Creates the follower side of a member.
 * @param state - The member's state.
 * @param applier - Restores the state machine from installed snapshots.
 */
export function createFollower(state: ConsensusState, applier: Applier): Follower {
    const { options: { group, storage } } = state;
    const { handleSnapshotPart } = createSnapshotReceiver(state, applier);
    let hasStoredTerm = storage.getHardState().term > 0n;
    return { handleAppend, handleHeartbeat, handleSnapshotPart };

    /**
     * Follows the leader without a write. The promise not to vote is kept in memory, and after a restart it is renewed
     * from the start on, so that a lease may rely on it; only entries and votes rely on the newest term being on disk. A
     * member without any term on its disk would give no promise after a restart, so that it stores the first one.
     */
    async function handleHeartbeat(request: HeartbeatRequest): Promise<HeartbeatResponse | undefined> {
        if (state.isStopped()) {
            return undefined;
        }
        const isAddressedToMember = request.group === group && request.recipientId === storage.memberId;
        if (isAddressedToMember && request.term >= state.getTerm() && !state.leads(request.term)) {
            state.observeTerm(request.term);
            state.followLeader(request.leaderAddress, request.promiseMilliseconds);
        }
        hasStoredTerm ||= await state.persist() && storage.getHardState().term > 0n;
        return hasStoredTerm
            ? create(HeartbeatResponseSchema, {
                term: state.getTerm(),
                memberId: storage.memberId,
                promiseMilliseconds: state.getGrantedPromise(request.promiseMilliseconds),
            })
            : undefined;
    }

    async function handleAppend(request: AppendRequest): Promise<AppendResponse | undefined> {
        if (state.isStopped()) {
            return undefined;
        }
        const isAddressedToMember = request.group === group && request.recipientId === storage.memberId;
        if (!isAddressedToMember || request.term < state.getTerm() || state.leads(request.term)) {
            return getResponse(request, false, storage.getLastIndex());
        }
        state.observeTerm(request.term);
        state.followLeader(request.leaderAddress, request.promiseMilliseconds);
        return state.logQueue.run(() => appendEntries(request));
    }

    async function appendEntries(request: AppendRequest): Promise<AppendResponse | undefined> {
        if (state.getTerm() !== request.term) {
            return getResponse(request, false, storage.getLastIndex());
        }
        if (!await state.persist()) {
            return undefined;
        }
        const mismatch = findMismatch(request);
        if (mismatch !== undefined) {
            return getResponse(request, false, mismatch);
        }
        if (!await storeEntries(request.entries)) {
            return undefined;
        }
        if (state.getTerm() !== request.term || state.isStopped()) {
            return state.isStopped() ? undefined : getResponse(request, false, storage.getLastIndex());
        }
        state.followLeader(request.leaderAddress, request.promiseMilliseconds);
        const matchIndex = request.previousIndex + BigInt(request.entries.length);
        state.advanceCommitIndex(request.commitIndex < matchIndex ? request.commitIndex : matchIndex);
        return getResponse(request, true, matchIndex);
    }

    /**
     * Finds the last index at which the logs may agree where the previous entry does not match; undefined where it
     * matches.
     */
    function findMismatch(request: AppendRequest): bigint | undefined {
        const { previousIndex, previousTerm } = request;
        const lastIndex = storage.getLastIndex();
        if (previousIndex > lastIndex) {
            return lastIndex;
        }
        const ownTerm = storage.getTerm(previousIndex);
        if (ownTerm === undefined || ownTerm === previousTerm) {
            // Entries that a snapshot covers are committed, so they are the same at every member.
            return undefined;
        }
        let index = previousIndex - 1n;
        while (index > state.getCommitIndex() && storage.getTerm(index) === ownTerm) {
            index -= 1n;
        }
        return index;
    }

    /** Stores the new entries, after truncating entries of the log that conflict with them. */
    async function storeEntries(entries: readonly LogEntry[]): Promise<boolean> {
        const firstNew = entries.findIndex(entry => isNew(entry));
        if (firstNew === -1) {
            return true;
        }
        const newEntries = entries.slice(firstNew);
        // Decoded first: entries whose members can't be decoded must not be stored without them.
        const memberChanges = newEntries.filter(({ kind }) => kind === EntryKind.MEMBERS)
            .map(({ index, data }) => ({ index, members: fromBinary(MemberSetSchema, data) }));
        const firstIndex = newEntries[0]!.index;
        if (firstIndex <= storage.getLastIndex() && !await truncateLog(firstIndex)) {
            return false;
        }
        const write = storage.addEntries(newEntries);
        memberChanges.forEach(({ index, members }) => state.members.addMembers(index, members));
        if (memberChanges.length > 0) {
            state.notifyStateChange();
        }
        const outcome = await write;
        if (outcome.kind === "failed") {
            state.fail(outcome.reason);
        }
        return outcome.kind === "stored";
    }

    /** Returns whether an entry is neither in the log nor covered by the snapshot. */
    function isNew(entry: LogEntry): boolean {
        const isCovered = entry.index <= (storage.getSnapshot()?.index ?? 0n);
        return !isCovered && storage.getTerm(entry.index) !== entry.term;
    }

    async function truncateLog(index: bigint): Promise<boolean> {
        if (index <= state.getCommitIndex()) {
            throw createInvariantError("A leader sent a conflicting entry at a committed index", {
                index: String(index),
                commitIndex: String(state.getCommitIndex()),
            });
        }
        state.members.truncateFrom(index);
        const outcome = await storage.removeEntriesFrom(index);
        if (outcome.kind === "failed") {
            state.fail(outcome.reason);
        }
        return outcome.kind === "stored";
    }

    function getResponse(
        { promiseMilliseconds: askedPromiseMilliseconds }: AppendRequest,
        accepted: boolean,
        lastIndex: bigint,
    ): AppendResponse {
        return create(AppendResponseSchema, {
            term: state.getTerm(),
            accepted,
            lastIndex,
            memberId: storage.memberId,
            promiseMilliseconds: state.getGrantedPromise(askedPromiseMilliseconds),
        });
    }
}
