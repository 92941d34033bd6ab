/*
 * Selects the control member that a client calls: the leader if it is known, otherwise one member after another.
 */
import { RandomSource } from "../runtime";
import { MemberSelector } from "./MemberSelector";

/**
 * Creates a selector of control members.
 * @param members - The members' addresses.
 * @param random - The random source of the first member; seeded differently in each process to distribute the clients.
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

    function selectNext(): void {
        leaderAddress = undefined;
        memberIndex = (memberIndex + 1) % members.length;
    }
}
