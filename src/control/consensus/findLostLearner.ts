/*
 * Selects the learner that the leader removes to make room for others: a learner whose machine is gone never answers
 * again, and without its removal the group ends at its maximum size, where no member can replace a lost voter.
 */
import { Member, MemberRole } from "../../protocol";

/** The group, as far as the selection depends on it. */
interface LostLearnerOptions {
    /** The members of the group. */
    members: readonly Member[];
    /** The maximum number of members. */
    maximumMembers: number;
    /** The number of voters that the group aims for, for each of which a place is kept free. */
    voterCount: number;
    /** How long a learner may be unresponsive while the group has few places left, in milliseconds. */
    learnerRemovalTimeoutMilliseconds: number;
    /** How long a learner may be unresponsive while the group has no place left, in milliseconds. */
    fullGroupTimeoutMilliseconds: number;
    /** Gets how long a member has been unresponsive, in milliseconds. */
    getUnresponsiveMilliseconds: (memberId: string) => number;
}

/**
 * Finds the learner that has been unresponsive the longest, if the group needs its place.
 * @param options - The group.
 * @returns The learner to remove; undefined where no learner is lost or there is room enough.
 */
export function findLostLearner(options: LostLearnerOptions): Member | undefined {
    const { members, maximumMembers, voterCount, getUnresponsiveMilliseconds } = options;
    const freePlaces = maximumMembers - members.length;
    if (freePlaces >= voterCount) {
        return undefined;
    }
    const timeoutMilliseconds = freePlaces > 0
        ? options.learnerRemovalTimeoutMilliseconds
        : options.fullGroupTimeoutMilliseconds;
    return members
        .filter(({ role }) => role === MemberRole.LEARNER)
        .map(member => ({ member, unresponsiveMilliseconds: getUnresponsiveMilliseconds(member.memberId) }))
        .filter(({ unresponsiveMilliseconds }) => unresponsiveMilliseconds >= timeoutMilliseconds)
        .sort((first, second) => second.unresponsiveMilliseconds - first.unresponsiveMilliseconds)[0]?.member;
}
