/*
 * Elections. One task campaigns when no leader's message arrives for an election timeout. It starts with a pre-vote, so
 * that a partitioned member does not raise the term. A member that received a leader's message within the minimum
 * election timeout refuses both pre-votes and votes; leader leases rely on that. After a restart of all members there is
 * no lease to wait for, and the member with the most complete log campaigns at once.
 */
import { create } from "@bufbuild/protobuf";
import { createLogLimiter } from "../../logging";
import { CounterName } from "../../metrics";
import { VoteRequest, VoteRequestSchema, VoteResponse, VoteResponseSchema } from "../../protocol";
import { collectVotes } from "./collectVotes";
import { ConsensusRole } from "./ConsensusRole";
import { ConsensusState } from "./ConsensusState";
import { Election } from "./Election";
import { FormerLease } from "./FormerLease";
import { VoteResult } from "./VoteResult";

/** How long votes are collected, as a multiple of the maximum election timeout: each vote waits for two disks in turn. */
const voteCollectionTimeouts = 3;

/**
 * Creates the elections of a member and starts their task.
 * @param state - The member's state.
 * @param formerLease - Ends the lease that a leader may have had before the member's restart.
 * @param onElected - Called when the member wins an election.
 */
export function createElection(state: ConsensusState, formerLease: FormerLease, onElected: () => void): Election {
    const { options: { group, storage, clock, random, metrics, peers, logger }, timing } = state;
    const limiter = createLogLimiter(clock);
    /** The number of votes, the member's own included, that are being stored or collected. */
    let openVoteCount = 0;
    /** The candidate that this member voted for, and until when other pre-votes are refused for it. */
    let supported = { candidateId: "", endMilliseconds: -Infinity };
    /** Until when an early pre-vote is repeated: the others may not know yet that no member leads since the restart. */
    const earlyEndMilliseconds = clock.getMonotonicMilliseconds()
        + 2 * timing.minimumElectionTimeoutMilliseconds * timing.maximumPromiseFactor;
    state.startTask(runElectionLoop);
    return { handleVote };

    async function runElectionLoop(): Promise<void> {
        while (!state.isStopped()) {
            await waitForElectionTimeout();
            if (!state.isStopped() && state.getRole() !== ConsensusRole.Leader && state.canCampaign()) {
                const isEarly = clock.getMonotonicMilliseconds() >= state.getEarlyElectionMilliseconds();
                const hasWonPreVote = await campaign();
                state.restartElectionTimer();
                if (isEarly && !hasWonPreVote && clock.getMonotonicMilliseconds() < earlyEndMilliseconds) {
                    state.scheduleEarlyElection(timing.heartbeatIntervalMilliseconds);
                }
            }
        }
    }

    /** Waits until no leader's message has arrived for a random election timeout. */
    async function waitForElectionTimeout(): Promise<void> {
        const minimum = timing.minimumElectionTimeoutMilliseconds;
        const range = timing.maximumElectionTimeoutMilliseconds - minimum;
        const timeout = minimum + random.getFraction() * range;
        while (!state.isStopped()) {
            if (state.getRole() === ConsensusRole.Leader || !state.canCampaign()) {
                await state.roleSignal.wait();
                continue;
            }
            const end = Math.min(
                state.getElectionStartMilliseconds() + timeout * state.getElectionTimeoutFactor(),
                state.getEarlyElectionMilliseconds(),
            );
            const remaining = end - clock.getMonotonicMilliseconds();
            if (remaining <= 0 || isOnlyVoter()) {
                return;
            }
            await state.roleSignal.wait(remaining);
        }
    }

    /**
     * Returns whether the member is the only voter by a committed member set. It need not wait for an election timeout
     * then: a leader that was removed stepped down when its removal was committed, so no other lease can be valid.
     */
    function isOnlyVoter(): boolean {
        const isCommitted = state.members.getCurrentIndex() <= state.getCommitIndex();
        return isCommitted && state.isVoter() && state.members.getVoters().length === 1;
    }

    /** Campaigns, and returns whether the member has won the pre-vote. */
    async function campaign(): Promise<boolean> {
        if (!await winsPreVote()) {
            return false;
        }
        if (await runWithOpenVote(isElectedInNewTerm)) {
            metrics.addCount(CounterName.Elections);
            onElected();
        }
        return true;
    }

    /** Asks for pre-votes, and once more where a voter was in a higher term and refused for that alone. */
    async function winsPreVote(): Promise<boolean> {
        const term = state.getTerm();
        return await isElected(term + 1n, true)
            || (state.getTerm() > term && await isElected(state.getTerm() + 1n, true));
    }

    /** Starts a term and collects its votes, and returns whether the member has won the election. */
    async function isElectedInNewTerm(): Promise<boolean> {
        const term = await state.logQueue.run(startCandidacy);
        if (term === undefined || !isCandidateInTerm(term)) {
            return false;
        }
        return await isElected(term, false) && isCandidateInTerm(term);
    }

    async function runWithOpenVote<T>(operation: () => Promise<T>): Promise<T> {
        openVoteCount += 1;
        try {
            return await operation();
        }
        finally {
            openVoteCount -= 1;
        }
    }

    /**
     * Returns whether the member takes part in an election whose votes are being stored or collected. A second candidate
     * would end that election by its higher term, over and over where disks are slower than election timeouts.
     */
    function isElectionOpen(candidateId: string): boolean {
        const isSupporting = clock.getMonotonicMilliseconds() < supported.endMilliseconds;
        return openVoteCount > 0 || (isSupporting && supported.candidateId !== candidateId);
    }

    /** Starts a term with a vote for the member itself, unless a leader's message arrived in the meantime. */
    async function startCandidacy(): Promise<bigint | undefined> {
        if (state.isStopped() || (state.hasRecentContact() && !isOnlyVoter())) {
            return undefined;
        }
        state.becomeCandidate();
        const term = state.getTerm();
        return await state.persist() ? term : undefined;
    }

    function isCandidateInTerm(term: bigint): boolean {
        return state.getRole() === ConsensusRole.Candidate && state.getTerm() === term;
    }

    /** Requests votes or pre-votes from all voters, and returns whether a majority granted them. */
    async function isElected(term: bigint, isPreVote: boolean): Promise<boolean> {
        const lastIndex = storage.getLastIndex();
        const request = create(VoteRequestSchema, {
            group,
            term,
            candidateId: storage.memberId,
            lastIndex,
            lastTerm: storage.getTerm(lastIndex) ?? 0n,
            preVote: isPreVote,
        });
        const result = await collectVotes({
            voters: state.members.getVoters(),
            ownId: storage.memberId,
            requestVote: address => peers.requestVote(address, request),
            onTerm: observedTerm => state.observeTerm(observedTerm),
            clock,
            timeoutMilliseconds: isPreVote
                ? timing.maximumElectionTimeoutMilliseconds
                : voteCollectionTimeouts * timing.maximumElectionTimeoutMilliseconds,
            slowVoterMilliseconds: timing.minimumElectionTimeoutMilliseconds / 2,
        });
        if (!result.isElected) {
            logFailure(request, result);
        }
        return result.isElected;
    }

    function logFailure({ term, preVote, lastIndex, lastTerm }: VoteRequest, result: VoteResult): void {
        const { granted, refused, replaced, unanswered } = result;
        const log = { lastIndex: String(lastIndex), lastTerm: String(lastTerm) };
        const fields = { term: String(term), isPreVote: preVote, ...log, granted, refused, replaced, unanswered };
        limiter.limit(
            `election ${preVote}`,
            suppressedCount => logger.info({ ...fields, suppressedCount }, "was not elected"),
        );
    }

    async function handleVote(request: VoteRequest): Promise<VoteResponse | undefined> {
        await formerLease.check();
        if (state.isStopped()) {
            return undefined;
        }
        if (request.group !== group || state.getRole() === ConsensusRole.Leader || state.hasRecentContact()) {
            return refuse(request, request.group !== group ? "another group" : "a leader is or may be in office");
        }
        if (request.preVote) {
            const isEligible = request.term > state.getTerm() && isLogComplete(request);
            if (!isEligible) {
                return refuse(request, getVoteRefusalReason(request));
            }
            return isElectionOpen(request.candidateId) ? refuse(request, "an election is open") : getResponse(true);
        }
        state.observeTerm(request.term);
        const isFree = state.getVote() === "" || state.getVote() === request.candidateId;
        if (request.term < state.getTerm() || !isFree || !isLogComplete(request)) {
            return refuse(request, getVoteRefusalReason(request));
        }
        state.setVote(request.candidateId);
        const isStored = await runWithOpenVote(() => state.persist());
        supported = {
            candidateId: request.candidateId,
            endMilliseconds: clock.getMonotonicMilliseconds() + timing.minimumElectionTimeoutMilliseconds,
        };
        const isStillGranted = state.getTerm() === request.term && state.getVote() === request.candidateId;
        return isStored ? getResponse(isStillGranted) : undefined;
    }

    /** Gets why a vote is refused though no leader is in office; for the log line only. */
    function getVoteRefusalReason(request: VoteRequest): string {
        return !isLogComplete(request)
            ? "the candidate's log is less complete"
            : request.term < state.getTerm() || request.preVote
            ? "the candidate's term is not higher"
            : "voted for another candidate";
    }

    /** Refuses a vote, and logs the reason at most once a second. */
    function refuse({ term, candidateId, preVote }: VoteRequest, reason: string): VoteResponse {
        const fields = {
            term: String(term),
            ownTerm: String(state.getTerm()),
            candidateId,
            isPreVote: preVote,
            reason,
        };
        limiter.limit(reason, suppressedCount => logger.info({ ...fields, suppressedCount }, "refused a vote"));
        return getResponse(false);
    }

    /** Returns whether a candidate's log is at least as up to date as this member's, by Raft's comparison. */
    function isLogComplete(request: VoteRequest): boolean {
        const lastIndex = storage.getLastIndex();
        const lastTerm = storage.getTerm(lastIndex) ?? 0n;
        return request.lastTerm === lastTerm ? request.lastIndex >= lastIndex : request.lastTerm > lastTerm;
    }

    function getResponse(granted: boolean): VoteResponse {
        return create(VoteResponseSchema, { term: state.getTerm(), granted, memberId: storage.memberId });
    }
}
