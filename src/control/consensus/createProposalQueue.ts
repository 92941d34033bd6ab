/*
 * Group commit: one task writes all queued proposals with one disk sync, while the next batch collects in the queue.
 * The entries are sent to peers while the leader's own disk is still syncing.
 */
import { create, toBinary } from "@bufbuild/protobuf";
import { HistogramName } from "../../metrics";
import { EntryKind, LogEntry, LogEntrySchema, MemberSet, MemberSetSchema } from "../../protocol";
import { abortWait } from "../../runtime";
import { Applier } from "./Applier";
import { ConsensusRole } from "./ConsensusRole";
import { ConsensusState } from "./ConsensusState";
import { ProposalQueue } from "./ProposalQueue";
import { ProposeOutcome } from "./ProposeOutcome";

/** How many times longer than the others' disks the leader's own may take until it counts as stalled. */
const slowDiskFactor = 2;

interface QueuedProposal {
    /** The kind of the entry. */
    kind: EntryKind;
    /** The entry's encoded content. */
    data: Uint8Array;
    /** The new member set; undefined for other kinds of entries. */
    members: MemberSet | undefined;
    /** When the proposal was queued, in monotonic milliseconds. */
    startMilliseconds: number;
    /** Reports the outcome to the proposer. */
    finish: (outcome: ProposeOutcome) => void;
}

interface ProposalQueueOptions {
    /** The member's state. */
    state: ConsensusState;
    /** Finishes the proposals once their entries are applied. */
    applier: Applier;
    /** Called when an appended entry changed the group's members. */
    onMembersChanged: () => void;
    /** Called when entries are synced to the leader's own disk. */
    onDurable: () => void;
}

/**
 * Creates the queue in front of a leader's log.
 * @param queueOptions - The state and the receivers of appended entries.
 */
export function createProposalQueue(queueOptions: ProposalQueueOptions): ProposalQueue {
    const { state, applier, onMembersChanged, onDurable } = queueOptions;
    const { options: { storage, clock, metrics }, limits, timing } = state;
    let queued: QueuedProposal[] = [];
    let queuedBytes = 0;
    let isWriting = false;
    let lastDurable = { term: 0n, index: 0n };
    return { propose, proposeMembers, proposeTermStart, getDurableIndex };

    function getDurableIndex(term: bigint): bigint {
        return lastDurable.term === term ? lastDurable.index : 0n;
    }

    async function propose(command: Uint8Array): Promise<ProposeOutcome> {
        if (command.length > limits.maximumCommandBytes) {
            return { kind: "refused", reason: `The command has more than ${limits.maximumCommandBytes} bytes` };
        }
        const bytes = queuedBytes + command.length;
        if (queued.length >= limits.maximumQueuedCommands || bytes > limits.maximumQueuedBytes) {
            return { kind: "refused", reason: "Too many commands wait to be written" };
        }
        return enqueue(EntryKind.COMMAND, command);
    }

    function proposeMembers(members: MemberSet): Promise<ProposeOutcome> {
        return enqueue(EntryKind.MEMBERS, toBinary(MemberSetSchema, members), members);
    }

    function proposeTermStart(): Promise<ProposeOutcome> {
        return enqueue(EntryKind.TERM_START, new Uint8Array());
    }

    async function enqueue(kind: EntryKind, data: Uint8Array, members?: MemberSet): Promise<ProposeOutcome> {
        const refusal = getRefusal();
        if (refusal) {
            return refusal;
        }
        return new Promise(finish => {
            queued.push({ kind, data, members, startMilliseconds: clock.getMonotonicMilliseconds(), finish });
            queuedBytes += data.length;
            startWriteLoop();
        });
    }

    /** Gets the outcome for proposals that this member can't append now; undefined where it can. */
    function getRefusal(): ProposeOutcome | undefined {
        if (state.isStopped()) {
            return { kind: "refused", reason: state.getFailureReason() ?? "The member is stopping" };
        }
        const isLeader = state.getRole() === ConsensusRole.Leader;
        return isLeader ? undefined : { kind: "notLeader", leaderAddress: state.getLeaderAddress() };
    }

    function startWriteLoop(): void {
        if (!isWriting) {
            isWriting = true;
            state.startTask(runWriteLoop);
        }
    }

    async function runWriteLoop(): Promise<void> {
        while (queued.length > 0) {
            await state.logQueue.run(writeBatch);
        }
        isWriting = false;
    }

    async function writeBatch(): Promise<void> {
        const batch = queued.slice(0, limits.maximumBatchCommands);
        queued = queued.slice(batch.length);
        queuedBytes = queued.length === 0 ? 0 : queuedBytes - batch.reduce((sum, item) => sum + item.data.length, 0);
        const refusal = getRefusal();
        if (refusal) {
            batch.forEach(item => item.finish(refusal));
            return;
        }
        const entries = appendBatch(batch);
        const write = storage.addEntries(entries);
        if (batch.some(item => item.members)) {
            onMembersChanged();
        }
        state.logSignal.notify();
        const { term, index } = entries.at(-1)!;
        const written = new AbortController();
        state.startTask(() => stepDownIfOthersAreFaster(term, index, written.signal));
        const outcome = await write;
        abortWait(written);
        if (outcome.kind === "failed") {
            state.fail(outcome.reason);
            return;
        }
        lastDurable = { term, index };
        onDurable();
    }

    /**
     * Steps down if entries are committed by the other members while the leader's own disk has been busy with them for an
     * election timeout, and for far longer than theirs: until that write ends, no further proposal is appended, and another
     * member can append them.
     */
    async function stepDownIfOthersAreFaster(term: bigint, index: bigint, written: AbortSignal): Promise<void> {
        const startMilliseconds = clock.getMonotonicMilliseconds();
        await clock.sleep(timing.maximumElectionTimeoutMilliseconds, written);
        while (!written.aborted && state.leads(term)) {
            if (state.getCommitIndex() >= index) {
                const othersMilliseconds = clock.getMonotonicMilliseconds() - startMilliseconds;
                await clock.sleep((slowDiskFactor - 1) * othersMilliseconds, written);
                if (written.aborted || !state.leads(term)) {
                    return;
                }
                state.stepDown("its disk stalls, and those of a majority don't");
                refuseQueued();
                return;
            }
            await state.commitSignal.wait(timing.heartbeatIntervalMilliseconds);
        }
    }

    function refuseQueued(): void {
        const refusal = getRefusal();
        const refused = refusal ? queued.splice(0) : [];
        queuedBytes = refusal ? 0 : queuedBytes;
        refused.forEach(item => item.finish(refusal!));
    }

    /** Creates the entries of a batch at the end of the log, and registers the pending proposals. */
    function appendBatch(batch: readonly QueuedProposal[]): readonly LogEntry[] {
        const term = state.getTerm();
        const timeMilliseconds = BigInt(Math.floor(clock.getWallMilliseconds()));
        let index = storage.getLastIndex();
        return batch.map(item => {
            index += 1n;
            addPending(index, term, item);
            if (item.members) {
                state.members.addMembers(index, item.members);
            }
            return create(LogEntrySchema, { term, index, kind: item.kind, data: item.data, timeMilliseconds });
        });
    }

    function addPending(index: bigint, term: bigint, item: QueuedProposal): void {
        const deadlineMilliseconds = item.startMilliseconds + timing.proposalTimeoutMilliseconds;
        applier.addPending(index, { term, deadlineMilliseconds, finish });

        function finish(outcome: ProposeOutcome): void {
            if (outcome.kind === "committed") {
                const milliseconds = clock.getMonotonicMilliseconds() - item.startMilliseconds;
                metrics.recordMilliseconds(HistogramName.CommitTime, milliseconds);
            }
            item.finish(outcome);
        }
    }
}
