/*
 * Computes the member set that results from a change.
 */
import { create } from "@bufbuild/protobuf";
import { assertNever } from "../../errors";
import { Member, MemberRole, MemberSchema, MemberSet, MemberSetSchema } from "../../protocol";
import { MemberChange } from "./MemberChange";

/**
 * Applies a change to the group's members.
 * @param current - The member set before the change.
 * @param change - The change.
 * @returns The member set after the change, or the reason why the change does not apply.
 */
export function applyMemberChange(current: MemberSet, change: MemberChange): MemberSet | string {
    const { members } = current;
    const member = members.find(candidate => candidate.memberId === change.memberId);
    switch (change.kind) {
        case "addLearner":
            return member
                ? "The member belongs to the group already"
                : createMemberSet([...members, createLearner(change)]);
        case "setAddress":
            return member ? replaceMember({ ...member, address: change.address }) : "There is no such member";
        case "promote":
            return member?.role === MemberRole.LEARNER
                ? replaceMember({ ...member, role: MemberRole.VOTER })
                : "There is no such learner";
        case "remove":
            return removeMember();
        default:
            return assertNever(change);
    }

    function replaceMember(changed: Member): MemberSet {
        return createMemberSet(members.map(candidate => candidate.memberId === changed.memberId ? changed : candidate));
    }

    function removeMember(): MemberSet | string {
        const remaining = members.filter(candidate => candidate !== member);
        const hasVoter = remaining.some(candidate => candidate.role === MemberRole.VOTER);
        if (!member) {
            return "There is no such member";
        }
        return hasVoter ? createMemberSet(remaining) : "The group would have no voter left";
    }
}

function createLearner({ memberId, address }: { memberId: string; address: string; }): Member {
    return create(MemberSchema, { memberId, address, role: MemberRole.LEARNER });
}

function createMemberSet(members: readonly Member[]): MemberSet {
    return create(MemberSetSchema, { members: [...members] });
}
