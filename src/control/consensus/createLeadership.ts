/*
 * Leads a group. The leader lease relies on clock rates alone. A follower that acknowledges a message refuses to vote
 * for another candidate from the arrival of the message on, for the minimum election timeout on its clock. The leader
 * counts that time from the sending of the message, shortened by the maximum difference of clock rates, and steps down
 * as soon as it has passed for a majority.
 */
import { detach } from "../../runtime";
import { ConsensusState } from "./ConsensusState";
import { createSignal } from "./createSignal";
import { Leadership } from "./Leadership";
import { PeerProgress } from "./PeerProgress";
import { ProposalQueue } from "./ProposalQueue";
import { runPeerReplication } from "./runPeerReplication";
import { SentMessage } from "./SentMessage";

/**
 * Creates the leader side of a member.
 * @param state - The member's state.
 * @param getProposals - Gets the queue that appends to the leader's own log.
 */
export function createLeadership(state: ConsensusState, getProposals: () => ProposalQueue): Leadership {
    const { options: { storage, clock }, timing, members } = state;
    const { promiseLength } = state;
    /** How long a new leader, which holds no lease yet, waits for first responses, in milliseconds. */
    const firstResponsesMilliseconds = timing.minimumElectionTimeoutMilliseconds * timing.maximumPromiseFactor;
    const responseSignal = createSignal(clock);
    let peers = new Map<string, PeerProgress>();
    let ledTerm = 0n;
    let startIndex = 0n;
    let leaderSinceMilliseconds = 0;
    let lastMajorityMilliseconds = -Infinity;
    state.addListener(responseSignal.notify);
    return {
        responseSignal,
        begin,
        updatePeers,
        advanceCommitIndex,
        getLeaseMilliseconds,
        confirmLeadership,
        hasCommittedInTerm,
        getProgress: memberId => peers.get(memberId),
        getUnresponsiveMilliseconds,
    };

    function begin(): void {
        state.becomeLeader();
        ledTerm = state.getTerm();
        startIndex = storage.getLastIndex() + 1n;
        leaderSinceMilliseconds = clock.getMonotonicMilliseconds();
        lastMajorityMilliseconds = -Infinity;
        peers.forEach(removePeer);
        peers = new Map();
        state.startTask(() => runQuorumCheck(ledTerm));
        detach(getProposals().proposeTermStart());
        if (members.getCurrentIndex() === 0n) {
            detach(getProposals().proposeMembers(members.getCurrent()));
        }
        updatePeers();
    }

    function updatePeers(): void {
        if (!state.leads(ledTerm)) {
            return;
        }
        const others = members.getCurrent().members.filter(member => member.memberId !== storage.memberId);
        const updated = new Map<string, PeerProgress>();
        for (const { memberId, address } of others) {
            const existing = peers.get(memberId);
            updated.set(memberId, existing?.address === address ? existing : addPeer(memberId, address));
        }
        peers.forEach(peer => {
            if (updated.get(peer.memberId) !== peer) {
                removePeer(peer);
            }
        });
        peers = updated;
    }

    function addPeer(memberId: string, address: string): PeerProgress {
        const progress: PeerProgress = {
            memberId,
            address,
            addedMilliseconds: clock.getMonotonicMilliseconds(),
            nextIndex: storage.getLastIndex() + 1n,
            matchIndex: 0n,
            unansweredIndex: undefined,
            lastSentCommitIndex: 0n,
            acknowledgedSendMilliseconds: undefined,
            promised: undefined,
            lastSendMilliseconds: clock.getMonotonicMilliseconds(),
            isReplaced: false,
            isRemoved: false,
        };
        const term = ledTerm;
        state.startTask(() => runPeerReplication({ state, term, progress, onResponse }));
        return progress;
    }

    function removePeer(peer: PeerProgress): void {
        peer.isRemoved = true;
    }

    function onResponse(): void {
        const contactAge = clock.getMonotonicMilliseconds() - lastMajorityMilliseconds;
        lastMajorityMilliseconds = getMajorityMilliseconds();
        if (contactAge < Infinity) {
            promiseLength.recordContactAge(contactAge);
        }
        responseSignal.notify();
        advanceCommitIndex();
    }

    function advanceCommitIndex(): void {
        if (!state.leads(ledTerm)) {
            return;
        }
        const index = getMajorityValue(memberId => {
            return memberId === storage.memberId
                ? getProposals().getDurableIndex(ledTerm)
                : peers.get(memberId)?.matchIndex ?? 0n;
        }, 0n);
        // Entries of earlier terms are committed only indirectly, by a later entry of the leader's own term.
        if (index >= startIndex) {
            state.advanceCommitIndex(index);
        }
        if (members.getCurrentIndex() <= state.getCommitIndex() && !state.isVoter()) {
            state.stepDown("left the group");
        }
    }

    /** Gets the highest value that a majority of the voters has reached. */
    function getMajorityValue<T extends bigint | number>(getValue: (memberId: string) => T, fallback: T): T {
        const values = members.getVoters().map(voter => getValue(voter.memberId));
        values.sort((first, second) => (first < second ? 1 : first > second ? -1 : 0));
        return values[Math.floor(values.length / 2)] ?? fallback;
    }

    /** Gets the latest time such that a majority acknowledged messages sent then or later, in monotonic milliseconds. */
    function getMajorityMilliseconds(): number {
        const now = clock.getMonotonicMilliseconds();
        return getMajorityValue(memberId => {
            return memberId === storage.memberId ? now : peers.get(memberId)?.acknowledgedSendMilliseconds ?? -Infinity;
        }, -Infinity);
    }

    /**
     * Gets the remaining time for which a majority surely refuses votes, in milliseconds; negative once it has passed.
     * @param getElapsed - Gets the time since a message was sent, in milliseconds.
     */
    function getRemainingPromise(getElapsed: (sent: SentMessage) => number): number {
        return getMajorityValue(memberId => {
            if (memberId === storage.memberId) {
                return getLeaseDuration(promiseLength.getMilliseconds());
            }
            const promised = peers.get(memberId)?.promised;
            return promised ? getLeaseDuration(promised.promiseMilliseconds) - getElapsed(promised) : -Infinity;
        }, -Infinity);
    }

    function getElapsedMilliseconds({ sentMilliseconds }: SentMessage): number {
        return clock.getMonotonicMilliseconds() - sentMilliseconds;
    }

    /** Gets the time by the clock that has advanced further: only the wall clock does so while a machine is suspended. */
    function getLongestElapsedMilliseconds(sent: SentMessage): number {
        return Math.max(getElapsedMilliseconds(sent), clock.getWallMilliseconds() - sent.sentWallMilliseconds);
    }

    function getLeaseDuration(promiseMilliseconds: number): number {
        return promiseMilliseconds / (1 + timing.clockRateDifference);
    }

    function getLeaseMilliseconds(): number {
        return state.leads(ledTerm) ? Math.max(0, getRemainingPromise(getLongestElapsedMilliseconds)) : 0;
    }

    /** Steps down once no majority has acknowledged messages for the time of the lease. */
    async function runQuorumCheck(term: bigint): Promise<void> {
        while (state.leads(term)) {
            const sinceMilliseconds = clock.getMonotonicMilliseconds() - leaderSinceMilliseconds;
            const remaining = getMajorityMilliseconds() === -Infinity
                ? firstResponsesMilliseconds - sinceMilliseconds
                : getRemainingPromise(getElapsedMilliseconds);
            if (remaining <= 0) {
                promiseLength.recordLostLease();
                state.stepDown("no majority answers", { voters: getVoterDelays() });
                return;
            }
            await state.roleSignal.wait(Math.min(remaining, getLeaseDuration(promiseLength.getMilliseconds())));
        }
    }

    /** Gets the time since each voter's newest acknowledged message, by address, in milliseconds. */
    function getVoterDelays(): Record<string, number> {
        return Object.fromEntries(
            members.getVoters().map(({ memberId, address }) => {
                return [address, Math.round(getUnresponsiveMilliseconds(memberId))];
            }),
        );
    }

    async function confirmLeadership(): Promise<bigint | undefined> {
        const term = ledTerm;
        while (state.leads(term) && !hasCommittedInTerm()) {
            await state.commitSignal.wait(timing.heartbeatIntervalMilliseconds);
        }
        const index = state.getCommitIndex();
        const start = clock.getMonotonicMilliseconds();
        // Without a lease, leadership is confirmed by a majority's responses to messages sent from now on.
        while (state.leads(term) && getLeaseMilliseconds() === 0 && getMajorityMilliseconds() <= start) {
            state.logSignal.notify();
            await responseSignal.wait(timing.heartbeatIntervalMilliseconds);
        }
        return state.leads(term) ? index : undefined;
    }

    function hasCommittedInTerm(): boolean {
        return state.leads(ledTerm) && state.getCommitIndex() >= startIndex;
    }

    function getUnresponsiveMilliseconds(memberId: string): number {
        if (memberId === storage.memberId) {
            return 0;
        }
        const lastAcknowledged = peers.get(memberId)?.acknowledgedSendMilliseconds ?? leaderSinceMilliseconds;
        return clock.getMonotonicMilliseconds() - lastAcknowledged;
    }
}
