/*
 * Which control member a client turns to: the leader where it is known, or any.
 */
import { RandomSource } from "../runtime";
import { MemberSelector } from "./MemberSelector";

/**
 * Creates the choice of a control member.
 * @param members - The members' addresses.
 * @param random - Randomness, seeded differently in each process.
 */
export function createMemberSelector(members: readonly string[], random: RandomSource): MemberSelector {
    let memberIndex = random.getInteger(members.length);
    let leaderAddress: string | undefined;
    return { getAddress, setLeader, selectNext };

    function getAddress(): string {
        return leaderAddress ?? members[memberIndex]!;
    }

    function setLeader(address: string): void {
        leaderAddress = address === "" ? undefined : address;
    }

    /** Turns away from the member that was asked last. */
    function selectNext(): void {
        leaderAddress = undefined;
        memberIndex = (memberIndex + 1) % members.length;
    }
}
