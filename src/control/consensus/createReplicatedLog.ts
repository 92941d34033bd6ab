/*
 * One member of a replicated log. Its tasks share one state: elections, the writer of the leader's log, one replication
 * task for each peer, the applier, and the maintenance of the group's members.
 */
import { create, fromBinary } from "@bufbuild/protobuf";
import { GaugeName, TaskName } from "../../metrics";
import { EntryKind, MemberRole, MemberSet, MemberSetSchema } from "../../protocol";
import { superviseTask } from "../../supervision";
import { addLogGauges } from "./addLogGauges";
import { ConsensusHandlers } from "./ConsensusHandlers";
import { ConsensusState } from "./ConsensusState";
import { createApplier } from "./createApplier";
import { createConsensusState } from "./createConsensusState";
import { createElection } from "./createElection";
import { createFollower } from "./createFollower";
import { createFormerLease } from "./createFormerLease";
import { createLeadership } from "./createLeadership";
import { createLostMajorityWatch } from "./createLostMajorityWatch";
import { createMembership } from "./createMembership";
import { createProposalQueue } from "./createProposalQueue";
import { createReadBarrier } from "./createReadBarrier";
import { getGroupTolerance } from "./getGroupTolerance";
import { hasEmptyLog } from "./hasEmptyLog";
import { LogStatus } from "./LogStatus";
import { ReplicatedLog } from "./ReplicatedLog";
import { ReplicatedLogOptions } from "./ReplicatedLogOptions";
import { runGroupWatch } from "./runGroupWatch";
import { runJoinLoop } from "./runJoinLoop";
import { runMembershipMaintenance } from "./runMembershipMaintenance";

/**
 * Creates a member of a replicated log and starts its tasks.
 * @param options - The member's options.
 */
export function createReplicatedLog(options: ReplicatedLogOptions): ReplicatedLog & ConsensusHandlers {
    const { storage, metrics, join } = options;
    const state = createConsensusState(options);
    restoreMembers(state);
    const applier = createApplier(state);
    const leadership = createLeadership(state, () => proposals);
    const proposals = createProposalQueue({
        state,
        applier,
        onMembersChanged: () => {
            leadership.updatePeers();
            state.notifyStateChange();
        },
        onDurable: () => leadership.advanceCommitIndex(),
    });
    const follower = createFollower(state, applier);
    const formerLease = createFormerLease(state);
    const election = createElection(state, formerLease, () => leadership.begin());
    const barrier = createReadBarrier(state, leadership, applier);
    const membership = createMembership(state, leadership, proposals);
    if (options.initialMembers && hasEmptyLog(state)) {
        const { initialMembers } = options;
        state.startTask(() => startGroup(initialMembers));
    }
    if (join) {
        state.startTask(() => runJoinLoop(state, join, startGroup));
    }
    state.startTask(() => runMembershipMaintenance(state, leadership, membership));
    state.startTask(() => runGroupWatch(state, leadership));
    addLogGauges(metrics, getStatus);
    const lostMajorityWatch = createLostMajorityWatch(state);
    metrics.addGauge(GaugeName.LogLostVoters, () => lostMajorityWatch.getLostVoters().length);
    return {
        propose: proposals.propose,
        readBarrier: barrier.wait,
        getStatus,
        changeMembers: membership.changeMembers,
        getLeaderLeaseMilliseconds: leadership.getLeaseMilliseconds,
        addStatusListener: listener => state.addListener(() => listener(getStatus())),
        stop: state.stop,
        handleVote: supervise(election.handleVote),
        handleAppend: supervise(follower.handleAppend),
        handleHeartbeat: supervise(follower.handleHeartbeat),
        handleSnapshotPart: supervise(follower.handleSnapshotPart),
        handleJoin: supervise(membership.handleJoin),
        handleReadIndex: supervise(barrier.handleReadIndex),
        handleLeadership: supervise(formerLease.handleLeadership),
    };

    /** Logs failures of a handler, whose member appears as unreachable then. */
    function supervise<TRequest, TResponse>(
        handle: (request: TRequest) => Promise<TResponse | undefined>,
    ): (request: TRequest) => Promise<TResponse | undefined> {
        return async request => {
            let response: TResponse | undefined;
            await superviseTask(TaskName.MemberMessage, async () => {
                response = await handle(request);
            }, options);
            return response;
        };
    }

    /** Starts a new group, whose members are stored as a snapshot at index 0. */
    async function startGroup(members: MemberSet): Promise<void> {
        await state.logQueue.run(async () => {
            if (!hasEmptyLog(state)) {
                return;
            }
            const snapshot = { index: 0n, term: 0n, members, data: new Uint8Array() };
            const outcome = await storage.setSnapshot(snapshot);
            if (outcome.kind === "failed") {
                state.fail(outcome.reason);
                return;
            }
            state.members.reset(0n, members);
            state.notifyStateChange();
        });
    }

    function getStatus(): LogStatus {
        const { members } = state.members.getCurrent();
        return {
            memberId: storage.memberId,
            role: state.getRole(),
            term: state.getTerm(),
            leaderAddress: state.getLeaderAddress(),
            commitIndex: state.getCommitIndex(),
            appliedIndex: applier.getAppliedIndex(),
            lastIndex: storage.getLastIndex(),
            entryBytes: storage.getEntryBytes(),
            entriesSinceSnapshot: Number(storage.getLastIndex() - (storage.getSnapshot()?.index ?? 0n)),
            tolerance: getGroupTolerance(state, leadership),
            lostVoterAddresses: lostMajorityWatch.getLostVoters().map(({ address }) => address),
            members: members.map(({ memberId, address, role }) => ({
                memberId,
                address,
                isVoter: role === MemberRole.VOTER,
                matchIndex: leadership.getProgress(memberId)?.matchIndex,
            })),
        };
    }
}

/** Restores the group's members from the stored snapshot and the entries after it. */
function restoreMembers(state: ConsensusState): void {
    const { storage } = state.options;
    const snapshot = storage.getSnapshot();
    state.members.reset(snapshot?.index ?? 0n, snapshot?.members ?? create(MemberSetSchema));
    const entries = storage.getEntries((snapshot?.index ?? 0n) + 1n, Number.MAX_SAFE_INTEGER);
    for (const entry of entries.filter(candidate => candidate.kind === EntryKind.MEMBERS)) {
        state.members.addMembers(entry.index, fromBinary(MemberSetSchema, entry.data));
    }
}
