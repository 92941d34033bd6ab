/*
 * The leader's maintenance of the group's members. A learner that holds all committed entries is promoted where a voter
 * is missing or unavailable, and the unavailable voter is removed afterwards. The promotion comes first, so that a
 * failure in between does not meet a smaller group than before. While a learner may have to replace a voter, each
 * response of a peer is followed by a check, so that no step of the repair waits for the next interval.
 */
import { createLogLimiter } from "../../logging";
import { Member, MemberRole } from "../../protocol";
import { ConsensusRole } from "./ConsensusRole";
import { ConsensusState } from "./ConsensusState";
import { findLostLearner } from "./findLostLearner";
import { Leadership } from "./Leadership";
import { MemberChange } from "./MemberChange";
import { Membership } from "./Membership";

/**
 * Promotes and removes members as needed, until the member stops; only a leader acts.
 * @param state - The member's state.
 * @param leadership - Gives the replication progress of each peer.
 * @param membership - Makes the changes.
 */
export async function runMembershipMaintenance(
    state: ConsensusState,
    leadership: Leadership,
    membership: Membership,
): Promise<void> {
    const { timing, limits, members, options: { logger, storage, clock } } = state;
    const limiter = createLogLimiter(clock);
    while (!state.isStopped()) {
        const change = state.getRole() === ConsensusRole.Leader ? getNextChange() : undefined;
        if (!change || !await makeChange(change)) {
            const signal = isRepairing() ? leadership.responseSignal : state.roleSignal;
            await signal.wait(timing.maintenanceIntervalMilliseconds);
        }
    }

    /** Returns whether a response of a peer may make a change necessary or possible. */
    function isRepairing(): boolean {
        if (state.getRole() !== ConsensusRole.Leader) {
            return false;
        }
        const voters = members.getVoters();
        const learners = members.getCurrent().members.filter(member => member.role === MemberRole.LEARNER);
        const hasSuccessor = learners.some(({ address }) => voters.some(voter => voter.address === address));
        const isVoterMissing = voters.length < limits.voterCount || voters.some(isUnavailable);
        return hasSuccessor || (isVoterMissing && (learners.length > 0 || voters.length > limits.voterCount));
    }

    /** Makes a change, and returns whether it is committed; the next one then follows without delay. */
    async function makeChange(change: MemberChange): Promise<boolean> {
        const outcome = await membership.changeMembers(change);
        if (outcome.kind === "committed") {
            logger.info({ change, outcome: outcome.kind }, "repairs the group");
            return true;
        }
        const reason = outcome.kind === "refused" ? { reason: outcome.reason } : {};
        limiter.limit(
            `${change.kind} ${outcome.kind}`,
            suppressedCount =>
                logger.info({ change, outcome: outcome.kind, ...reason, suppressedCount }, "repairs the group"),
        );
        return false;
    }

    /** Gets the next change that the group needs. */
    function getNextChange(): MemberChange | undefined {
        if (!leadership.hasCommittedInTerm()) {
            return undefined;
        }
        const voters = members.getVoters();
        const unavailableVoter = voters.find(isUnavailable);
        if (unavailableVoter && voters.length > limits.voterCount) {
            return { kind: "remove", memberId: unavailableVoter.memberId };
        }
        const promotableLearner = members.getCurrent().members.find(isPromotable);
        if (promotableLearner && (unavailableVoter || voters.length < limits.voterCount)) {
            return { kind: "promote", memberId: promotableLearner.memberId };
        }
        const lostLearner = members.getCurrent().members.find(isReplacedLearner) ?? findUnresponsiveLearner();
        return lostLearner ? { kind: "remove", memberId: lostLearner.memberId } : undefined;
    }

    /** Returns whether a member is unresponsive, or its address responds with another identity. */
    function isUnavailable(member: Member): boolean {
        if (member.memberId === storage.memberId) {
            return false;
        }
        const isUnresponsive =
            leadership.getUnresponsiveMilliseconds(member.memberId) >= timing.voterReplacementTimeoutMilliseconds;
        return isUnresponsive || isReplaced(member);
    }

    function isReplaced(member: Member): boolean {
        return leadership.getProgress(member.memberId)?.isReplaced ?? false;
    }

    function isReplacedLearner(member: Member): boolean {
        return member.role === MemberRole.LEARNER && isReplaced(member);
    }

    function findUnresponsiveLearner(): Member | undefined {
        return findLostLearner({
            members: members.getCurrent().members,
            maximumMembers: limits.maximumMembers,
            voterCount: limits.voterCount,
            learnerRemovalTimeoutMilliseconds: timing.learnerRemovalTimeoutMilliseconds,
            fullGroupTimeoutMilliseconds: timing.voterReplacementTimeoutMilliseconds,
            getUnresponsiveMilliseconds,
        });
    }

    /** Gets how long a member has been unresponsive since it was added, in milliseconds. */
    function getUnresponsiveMilliseconds(memberId: string): number {
        const now = clock.getMonotonicMilliseconds();
        const addedMilliseconds = leadership.getProgress(memberId)?.addedMilliseconds ?? now;
        return Math.min(leadership.getUnresponsiveMilliseconds(memberId), now - addedMilliseconds);
    }

    /** Returns whether a member is a responsive learner that holds all committed entries. */
    function isPromotable(member: Member): boolean {
        const progress = leadership.getProgress(member.memberId);
        if (member.role !== MemberRole.LEARNER || !progress || progress.isReplaced) {
            return false;
        }
        const unresponsiveMilliseconds = leadership.getUnresponsiveMilliseconds(member.memberId);
        return progress.matchIndex >= state.getCommitIndex()
            && unresponsiveMilliseconds < state.promiseLength.getMilliseconds();
    }
}
