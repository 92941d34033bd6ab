/*
 * Computes how many further losses of members a group bears. It decides nothing: status, metrics and log lines show it.
 */
import { ConsensusRole } from "./ConsensusRole";
import { ConsensusState } from "./ConsensusState";
import { GroupTolerance } from "./GroupTolerance";
import { isMemberResponsive } from "./isMemberResponsive";
import { Leadership } from "./Leadership";

/**
 * Gets what the group bears; undefined where the member is not the leader.
 * @param state - The member's state.
 * @param leadership - Gives the replication progress of each peer.
 */
export function getGroupTolerance(state: ConsensusState, leadership: Leadership): GroupTolerance | undefined {
    if (state.getRole() !== ConsensusRole.Leader) {
        return undefined;
    }
    const voters = state.members.getVoters().map(({ memberId, address }) => ({
        address,
        unresponsiveMilliseconds: Math.round(leadership.getUnresponsiveMilliseconds(memberId)),
        isReplaced: leadership.getProgress(memberId)?.isReplaced ?? false,
        isResponsive: isMemberResponsive(state, leadership, memberId),
    }));
    const responsiveVoters = voters.filter(voter => voter.isResponsive).length;
    const majority = Math.floor(voters.length / 2) + 1;
    return { voters, responsiveVoters, furtherLosses: Math.max(0, responsiveVoters - majority) };
}
