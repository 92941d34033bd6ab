/*
 * Tells whether a leader reaches a member now.
 */
import { ConsensusState } from "./ConsensusState";
import { Leadership } from "./Leadership";

/**
 * Returns whether a member acknowledged a message of the leader within the promise it asks for, under the identity
 * that the member set lists.
 * @param state - The leader's state.
 * @param leadership - Gives the replication progress of each peer.
 * @param memberId - The member's identity.
 */
export function isMemberResponsive(state: ConsensusState, leadership: Leadership, memberId: string): boolean {
    const isReplaced = leadership.getProgress(memberId)?.isReplaced ?? false;
    const unresponsiveMilliseconds = leadership.getUnresponsiveMilliseconds(memberId);
    return !isReplaced && unresponsiveMilliseconds < state.promiseLength.getMilliseconds();
}
