/*
 * Applies committed entries in order, in batches between which other tasks run. A proposal is finished once the entry
 * at its index is applied: if the entry has the proposal's term, the command is committed; otherwise it never will be.
 */
import { CounterName } from "../../metrics";
import { EntryKind, LogEntry } from "../../protocol";
import { StoredSnapshot } from "../storage";
import { Applier } from "./Applier";
import { ConsensusState } from "./ConsensusState";
import { createSerialQueue } from "./createSerialQueue";
import { createSignal } from "./createSignal";
import { PendingProposal } from "./PendingProposal";
import { ProposeOutcome } from "./ProposeOutcome";

const maximumApplyBatchBytes = 262_144;
const emptyResult = new Uint8Array();

/**
 * Creates an applier and starts its tasks.
 * @param state - The member's state.
 */
export function createApplier(state: ConsensusState): Applier {
    const { options: { storage, stateMachine, clock, logger, metrics }, limits, timing, members } = state;
    const pending = new Map<bigint, PendingProposal>();
    const applyQueue = createSerialQueue();
    const appliedSignal = createSignal(clock);
    let appliedIndex = 0n;
    /** The size of the commands applied since the newest snapshot, in bytes. */
    let appliedBytes = 0;
    let isStoringSnapshot = false;
    restoreStoredSnapshot();
    state.startTask(runApplyLoop);
    state.startTask(runProposalTimeouts);
    return { getAppliedIndex: () => appliedIndex, addPending, waitForIndex, restore };

    /** Restores the state machine from the stored snapshot; later entries are applied once known to be committed. */
    function restoreStoredSnapshot(): void {
        const snapshot = storage.getSnapshot();
        if (snapshot && snapshot.index > 0n) {
            stateMachine.restoreSnapshot(snapshot.data);
            appliedIndex = snapshot.index;
        }
    }

    function addPending(index: bigint, proposal: PendingProposal): void {
        pending.get(index)?.finish({ kind: "unknown" });
        pending.set(index, proposal);
    }

    async function runApplyLoop(): Promise<void> {
        while (!state.isStopped()) {
            if (appliedIndex >= state.getCommitIndex()) {
                await state.commitSignal.wait();
            }
            else if (!await applyQueue.run(applyBatch)) {
                // The committed entries are not in the log, since a snapshot that covers them is being installed.
                await state.commitSignal.wait(timing.heartbeatIntervalMilliseconds);
            }
            else if (appliedIndex < state.getCommitIndex()) {
                await clock.sleep(0);
            }
        }
        pending.forEach(proposal => proposal.finish({ kind: "unknown" }));
        pending.clear();
        appliedSignal.notify();
    }

    /** Applies one batch of entries, and returns whether there were any. */
    async function applyBatch(): Promise<boolean> {
        const commitIndex = state.getCommitIndex();
        const startIndex = appliedIndex;
        const entries = storage.getEntries(appliedIndex + 1n, maximumApplyBatchBytes);
        for (const entry of entries) {
            if (entry.index > commitIndex) {
                break;
            }
            const result = applyEntry(entry);
            appliedIndex = entry.index;
            appliedBytes += entry.data.length;
            finishProposal(entry, result);
        }
        appliedSignal.notify();
        startSnapshotIfDue();
        return appliedIndex > startIndex;
    }

    function applyEntry(entry: LogEntry): Uint8Array {
        if (entry.kind !== EntryKind.COMMAND) {
            return emptyResult;
        }
        metrics.addCount(CounterName.Commits);
        const timeMilliseconds = Number(entry.timeMilliseconds);
        return stateMachine.apply(entry.data, { term: entry.term, index: entry.index, timeMilliseconds });
    }

    function finishProposal(entry: LogEntry, result: Uint8Array): void {
        const proposal = pending.get(entry.index);
        if (!proposal) {
            return;
        }
        pending.delete(entry.index);
        const outcome: ProposeOutcome = proposal.term === entry.term
            ? { kind: "committed", term: entry.term, index: entry.index, result }
            : { kind: "notLeader", leaderAddress: state.getLeaderAddress() };
        proposal.finish(outcome);
    }

    /** Starts to take a snapshot once the log exceeds a threshold; further entries are applied while it is stored. */
    function startSnapshotIfDue(): void {
        const { index: snapshotIndex, data } = storage.getSnapshot() ?? { index: 0n, data: emptyResult };
        const isEntryThresholdReached = appliedIndex - snapshotIndex >= BigInt(limits.snapshotThresholdEntries);
        const isByteThresholdReached = storage.getEntryBytes() >= limits.snapshotThresholdBytes
            && appliedIndex > snapshotIndex;
        const isStateThresholdReached =
            appliedBytes >= Math.max(limits.snapshotMinimumLogBytes, limits.snapshotStateMultiple * data.length);
        const isDue = isEntryThresholdReached || isByteThresholdReached || isStateThresholdReached;
        if (isStoringSnapshot || !isDue) {
            return;
        }
        isStoringSnapshot = true;
        state.startTask(takeSnapshot);
    }

    async function takeSnapshot(): Promise<void> {
        const index = appliedIndex;
        const snapshot: StoredSnapshot = {
            index,
            term: storage.getTerm(index)!,
            members: members.getAt(index),
            data: stateMachine.takeSnapshot(),
        };
        appliedBytes = 0;
        const isLogTooLarge = storage.getEntryBytes() >= limits.snapshotThresholdBytes;
        const outcome = await storage.setSnapshot(snapshot, isLogTooLarge ? 0 : getRetainedEntryCount(snapshot));
        isStoringSnapshot = false;
        if (outcome.kind === "failed") {
            state.fail(outcome.reason);
            return;
        }
        members.discardBefore(index);
        logger.debug({ index: String(index), bytes: snapshot.data.length }, "stored a snapshot");
    }

    /** Gets the number of entries covered by a snapshot that are retained. */
    function getRetainedEntryCount({ index, data }: StoredSnapshot): number {
        const maximumBytes = Math.max(limits.snapshotMinimumLogBytes, data.length);
        const earliestIndex = index - BigInt(limits.retainedEntries) + 1n;
        const firstIndex = earliestIndex > storage.getFirstIndex() ? earliestIndex : storage.getFirstIndex();
        const covered = storage.getEntries(firstIndex, Number.MAX_SAFE_INTEGER)
            .slice(0, Number(index - firstIndex + 1n));
        let bytes = 0;
        const dropped = covered.findLastIndex(entry => {
            bytes += entry.data.length;
            return bytes > maximumBytes;
        });
        return covered.length - 1 - dropped;
    }

    function restore(snapshot: StoredSnapshot): Promise<void> {
        return applyQueue.run(async () => {
            if (snapshot.index <= appliedIndex) {
                return;
            }
            stateMachine.restoreSnapshot(snapshot.data);
            appliedIndex = snapshot.index;
            appliedBytes = 0;
            abandonPending(({ index }) => index <= snapshot.index);
            appliedSignal.notify();
        });
    }

    async function waitForIndex(index: bigint, milliseconds: number): Promise<boolean> {
        const deadline = clock.getMonotonicMilliseconds() + milliseconds;
        while (appliedIndex < index && !state.isStopped()) {
            const remaining = deadline - clock.getMonotonicMilliseconds();
            if (remaining <= 0) {
                return false;
            }
            await appliedSignal.wait(remaining);
        }
        return appliedIndex >= index;
    }

    /** Reports proposals as unknown that have no outcome before their deadline. */
    async function runProposalTimeouts(): Promise<void> {
        while (!state.isStopped()) {
            await state.roleSignal.wait(timing.maintenanceIntervalMilliseconds);
            const now = clock.getMonotonicMilliseconds();
            abandonPending(({ proposal }) => proposal.deadlineMilliseconds <= now);
        }
    }

    function abandonPending(isAbandoned: (item: { index: bigint; proposal: PendingProposal; }) => boolean): void {
        for (const [index, proposal] of pending) {
            if (isAbandoned({ index, proposal })) {
                pending.delete(index);
                proposal.finish({ kind: "unknown" });
            }
        }
    }
}
