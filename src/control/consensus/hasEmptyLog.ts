/*
 * Detects a member that has never belonged to a group.
 */
import { ConsensusState } from "./ConsensusState";

/**
 * Returns whether a member has neither log entries nor a member set.
 * @param state - The member's state.
 */
export function hasEmptyLog(state: ConsensusState): boolean {
    const hasMembers = state.members.getCurrent().members.length > 0;
    return !hasMembers && state.options.storage.getLastIndex() === 0n;
}
