/*
 * Changes the group's members, one at a time. A change is refused until the one before it and an entry of the leader's
 * own term are committed, so that the majorities of consecutive member sets always overlap. A learner becomes a voter
 * only once it holds all committed entries.
 */
import { create } from "@bufbuild/protobuf";
import { createLogLimiter } from "../../logging";
import { JoinOutcome, JoinRequest, JoinResponse, JoinResponseSchema, MemberRole, MemberSet } from "../../protocol";
import { applyMemberChange } from "./applyMemberChange";
import { ConsensusRole } from "./ConsensusRole";
import { ConsensusState } from "./ConsensusState";
import { createSerialQueue } from "./createSerialQueue";
import { hasEmptyLog } from "./hasEmptyLog";
import { isMemberResponsive } from "./isMemberResponsive";
import { Leadership } from "./Leadership";
import { MemberChange } from "./MemberChange";
import { Membership } from "./Membership";
import { ProposalQueue } from "./ProposalQueue";
import { ProposeOutcome } from "./ProposeOutcome";

/**
 * Creates the member changes of a member.
 * @param state - The member's state.
 * @param leadership - Gives the replication progress of each peer.
 * @param proposals - Appends new member sets to the log.
 */
export function createMembership(
    state: ConsensusState,
    leadership: Leadership,
    proposals: ProposalQueue,
): Membership {
    const { options: { group, storage, join, clock, logger }, limits, members } = state;
    const limiter = createLogLimiter(clock);
    const changeQueue = createSerialQueue();
    return { changeMembers: change => changeQueue.run(() => makeChange(change)), handleJoin };

    async function makeChange(change: MemberChange): Promise<ProposeOutcome> {
        if (state.getRole() !== ConsensusRole.Leader) {
            return { kind: "notLeader", leaderAddress: state.getLeaderAddress() };
        }
        const refusalReason = getRefusalReason(change);
        if (refusalReason !== undefined) {
            return { kind: "refused", reason: refusalReason };
        }
        const changed = applyMemberChange(members.getCurrent(), change);
        if (typeof changed === "string") {
            return { kind: "refused", reason: changed };
        }
        if (!hasResponsiveMajority(changed)) {
            return { kind: "refused", reason: "Too few voters of the changed group are responsive" };
        }
        return proposals.proposeMembers(changed);
    }

    /** Gets the reason why a change is refused for now; undefined where it can be made. */
    function getRefusalReason(change: MemberChange): string | undefined {
        const isSettled = leadership.hasCommittedInTerm() && members.getCurrentIndex() <= state.getCommitIndex();
        if (!isSettled) {
            return "An earlier change is not committed yet";
        }
        if (change.kind === "addLearner" && members.getCurrent().members.length >= limits.maximumMembers) {
            return `The group has ${limits.maximumMembers} members already`;
        }
        if (change.kind === "promote" && !hasCaughtUp(change.memberId)) {
            return "The learner does not hold all committed entries yet";
        }
        return undefined;
    }

    function hasCaughtUp(memberId: string): boolean {
        const progress = leadership.getProgress(memberId);
        return progress !== undefined && progress.matchIndex >= state.getCommitIndex();
    }

    /** Returns whether a majority of the new voters is responsive, so that the change itself can be committed. */
    function hasResponsiveMajority(changed: MemberSet): boolean {
        const voters = changed.members.filter(member => member.role === MemberRole.VOTER);
        const responsive = voters.filter(({ memberId }) => isMemberResponsive(state, leadership, memberId));
        return responsive.length > voters.length / 2;
    }

    async function handleJoin(request: JoinRequest): Promise<JoinResponse | undefined> {
        if (state.isStopped()) {
            return undefined;
        }
        if (request.group !== group) {
            return getResponse(JoinOutcome.REFUSED);
        }
        if (state.getRole() !== ConsensusRole.Leader) {
            return getResponse(hasEmptyLog(state) ? JoinOutcome.NO_GROUP : JoinOutcome.NOT_LEADER);
        }
        return changeQueue.run(() => addMember(request));
    }

    async function addMember({ memberId, address }: JoinRequest): Promise<JoinResponse> {
        const existing = members.getMember(memberId);
        if (existing?.address === address) {
            return getResponse(JoinOutcome.ACCEPTED);
        }
        const outcome = await makeChange({ kind: existing ? "setAddress" : "addLearner", memberId, address });
        if (outcome.kind !== "committed") {
            logRefusedJoin({ memberId, address }, outcome);
        }
        return getResponse(outcome.kind === "committed" ? JoinOutcome.ACCEPTED : JoinOutcome.REFUSED);
    }

    function logRefusedJoin(
        { memberId, address }: Pick<JoinRequest, "memberId" | "address">,
        outcome: ProposeOutcome,
    ): void {
        const reason = outcome.kind === "refused" ? outcome.reason : outcome.kind;
        limiter.limit(
            reason,
            suppressedCount => logger.info({ memberId, address, reason, suppressedCount }, "refused to add a member"),
        );
    }

    function getResponse(outcome: JoinOutcome): JoinResponse {
        return create(JoinResponseSchema, {
            outcome,
            leaderAddress: state.getLeaderAddress() ?? "",
            memberId: storage.memberId,
            startsGroup: join?.startsGroup ?? false,
        });
    }
}
