/*
 * The state that the tasks of one member share. Changes take effect in memory at once. A response that another
 * member relies on, such as a vote, is sent only after `persist` has synced the term and vote to disk.
 */
import { TaskName } from "../../metrics";
import { Member, MemberRole } from "../../protocol";
import { superviseTask } from "../../supervision";
import { StorageWriteOutcome } from "../storage";
import { ConsensusRole } from "./ConsensusRole";
import { ConsensusState } from "./ConsensusState";
import { createMemberHistory } from "./createMemberHistory";
import { createPromiseLength } from "./createPromiseLength";
import { createSerialQueue } from "./createSerialQueue";
import { createSignal } from "./createSignal";
import { defaultConsensusLimits } from "./defaultConsensusLimits";
import { defaultConsensusTiming } from "./defaultConsensusTiming";
import { ReplicatedLogOptions } from "./ReplicatedLogOptions";

/**
 * Creates the state of a member from its storage.
 * @param options - The member's options.
 */
export function createConsensusState(options: ReplicatedLogOptions): ConsensusState {
    const { storage, clock, logger } = options;
    const timing = { ...defaultConsensusTiming, ...options.timing };
    const limits = { ...defaultConsensusLimits, ...options.limits };
    const members = createMemberHistory();
    const roleSignal = createSignal(clock);
    const logSignal = createSignal(clock);
    const commitSignal = createSignal(clock);
    const listeners = new Set<() => void>();
    const tasks = new Set<Promise<void>>();
    let { term, votedFor } = storage.getHardState();
    let lastHardState = { term, votedFor };
    let hardStateWrite: Promise<StorageWriteOutcome> = Promise.resolve({ kind: "stored" });
    let role = ConsensusRole.Follower;
    let leaderAddress: string | undefined;
    let commitIndex = storage.getSnapshot()?.index ?? 0n;
    let failureReason: string | undefined;
    const promiseLength = createPromiseLength(timing, clock);
    // Before a restart, the member may have acknowledged a leader's message, whose lease must hold. A member that has
    // seen a term therefore refuses votes for the longest promise after its start.
    let lastContactMilliseconds = term === 0n ? -Infinity : clock.getMonotonicMilliseconds();
    let promiseEndMilliseconds = lastContactMilliseconds
        + timing.minimumElectionTimeoutMilliseconds * timing.maximumPromiseFactor;
    let electionTimeoutFactor = 1;
    let hasFormerContact = term !== 0n;
    let earlyElectionMilliseconds = Infinity;
    let electionStartMilliseconds = clock.getMonotonicMilliseconds();
    return {
        options,
        timing,
        limits,
        members,
        promiseLength,
        logQueue: createSerialQueue(),
        roleSignal,
        logSignal,
        commitSignal,
        getRole,
        getTerm: () => term,
        getVote: () => votedFor,
        getLeaderAddress: () => leaderAddress,
        getCommitIndex: () => commitIndex,
        isStopped,
        getFailureReason: () => failureReason,
        leads: candidateTerm => role === ConsensusRole.Leader && term === candidateTerm,
        isVoter: () => getOwnMember()?.role === MemberRole.VOTER,
        canCampaign,
        getLastContactMilliseconds: () => lastContactMilliseconds,
        getElectionStartMilliseconds: () => electionStartMilliseconds,
        getElectionTimeoutFactor: () => electionTimeoutFactor,
        hasRecentContact,
        hasFormerContact: () => hasFormerContact && hasRecentContact(),
        endFormerContact,
        getEarlyElectionMilliseconds: () => earlyElectionMilliseconds,
        scheduleEarlyElection,
        restartElectionTimer,
        observeTerm,
        getGrantedPromise,
        followLeader,
        setVote,
        becomeCandidate,
        becomeLeader,
        stepDown,
        advanceCommitIndex,
        notifyStateChange,
        addListener,
        persist,
        fail,
        startTask,
        stop,
    };

    function getOwnMember(): Member | undefined {
        return members.getMember(storage.memberId);
    }

    function getRole(): ConsensusRole {
        const isLearner = role === ConsensusRole.Follower && getOwnMember()?.role !== MemberRole.VOTER;
        return isLearner ? ConsensusRole.Learner : role;
    }

    function canCampaign(): boolean {
        const committed = members.getAt(commitIndex).members.find(member => member.memberId === storage.memberId);
        return getOwnMember()?.role === MemberRole.VOTER || committed?.role === MemberRole.VOTER;
    }

    function isStopped(): boolean {
        return role === ConsensusRole.Stopped;
    }

    function hasRecentContact(): boolean {
        return clock.getMonotonicMilliseconds() < promiseEndMilliseconds;
    }

    function endFormerContact(electionDelayMilliseconds: number): void {
        if (!hasFormerContact) {
            return;
        }
        hasFormerContact = false;
        lastContactMilliseconds = -Infinity;
        promiseEndMilliseconds = -Infinity;
        scheduleEarlyElection(electionDelayMilliseconds);
    }

    function scheduleEarlyElection(delayMilliseconds: number): void {
        earlyElectionMilliseconds = clock.getMonotonicMilliseconds() + delayMilliseconds;
        roleSignal.notify();
    }

    function restartElectionTimer(): void {
        electionStartMilliseconds = clock.getMonotonicMilliseconds();
        electionTimeoutFactor = 1;
        earlyElectionMilliseconds = Infinity;
    }

    function observeTerm(newTerm: bigint): void {
        if (newTerm <= term || isStopped()) {
            return;
        }
        if (role === ConsensusRole.Leader) {
            logger.info(
                { term: String(term), newTerm: String(newTerm), reason: "a higher term began" },
                "stepped down",
            );
        }
        term = newTerm;
        votedFor = "";
        leaderAddress = undefined;
        setRole(ConsensusRole.Follower);
    }

    /** Limits a promise to the one that the member would keep across a restart. */
    function getGrantedPromise(askedMilliseconds: number): number {
        const minimum = timing.minimumElectionTimeoutMilliseconds;
        return Math.min(askedMilliseconds || minimum, minimum * timing.maximumPromiseFactor);
    }

    function followLeader(address: string, promiseMilliseconds: number): void {
        const promise = getGrantedPromise(promiseMilliseconds);
        hasFormerContact = false;
        lastContactMilliseconds = clock.getMonotonicMilliseconds();
        promiseEndMilliseconds = Math.max(promiseEndMilliseconds, lastContactMilliseconds + promise);
        promiseLength.recordPromise(promise);
        restartElectionTimer();
        electionTimeoutFactor = promise / timing.minimumElectionTimeoutMilliseconds;
        if (role === ConsensusRole.Follower && leaderAddress === address) {
            return;
        }
        leaderAddress = address;
        setRole(ConsensusRole.Follower);
    }

    function setVote(candidateId: string): void {
        votedFor = candidateId;
        restartElectionTimer();
    }

    function becomeCandidate(): void {
        term += 1n;
        votedFor = storage.memberId;
        leaderAddress = undefined;
        setRole(ConsensusRole.Candidate);
    }

    function becomeLeader(): void {
        leaderAddress = options.address;
        setRole(ConsensusRole.Leader);
    }

    function stepDown(reason: string, details: object = {}): void {
        if (role !== ConsensusRole.Leader && role !== ConsensusRole.Candidate) {
            return;
        }
        logger.info({ term: String(term), reason, ...details }, "stepped down");
        leaderAddress = undefined;
        restartElectionTimer();
        setRole(ConsensusRole.Follower);
    }

    function setRole(newRole: ConsensusRole): void {
        if (isStopped()) {
            return;
        }
        if (role !== newRole) {
            logger.info({ role: newRole, term: String(term) }, "changed role");
        }
        role = newRole;
        notifyStateChange();
    }

    function advanceCommitIndex(index: bigint): void {
        if (index <= commitIndex) {
            return;
        }
        commitIndex = index;
        commitSignal.notify();
        logSignal.notify();
    }

    /** Wakes every waiting task and calls the listeners. */
    function notifyStateChange(): void {
        roleSignal.notify();
        logSignal.notify();
        commitSignal.notify();
        listeners.forEach(listener => listener());
    }

    function addListener(listener: () => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    async function persist(): Promise<boolean> {
        if (lastHardState.term !== term || lastHardState.votedFor !== votedFor) {
            lastHardState = { term, votedFor };
            hardStateWrite = storage.setHardState(lastHardState);
        }
        const outcome = await hardStateWrite;
        if (outcome.kind === "failed") {
            fail(outcome.reason);
        }
        return outcome.kind === "stored" && !isStopped();
    }

    function fail(reason: string): void {
        if (isStopped()) {
            return;
        }
        failureReason = reason;
        logger.error({ reason }, "the member stops, since its disk can't be relied on");
        enterStoppedRole();
    }

    function enterStoppedRole(): void {
        leaderAddress = undefined;
        setRole(ConsensusRole.Stopped);
    }

    function startTask(task: () => Promise<void>): void {
        const running = superviseTask(TaskName.ReplicatedLog, task, options).finally(() => tasks.delete(running));
        tasks.add(running);
    }

    async function stop(): Promise<void> {
        enterStoppedRole();
        while (tasks.size > 0) {
            await Promise.all(tasks);
        }
    }
}
