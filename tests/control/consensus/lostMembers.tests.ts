import { expect } from "chai";
import { createTestGroup, GroupMember, TestGroup } from "./createTestGroup";

const options = { timing: { voterReplacementTimeoutMilliseconds: 2_000, maintenanceIntervalMilliseconds: 250 } };
const machineLossMilliseconds = 5_000;

/** A group whose members are lost for good one after the other; `members` holds only the present ones. */
function createLosses(group: TestGroup) {
    const present = [...group.members];
    return { loseMachine, startMachine, loseDisk };

    /** Stops a member for good. */
    function loseMachine(member: GroupMember): void {
        group.crash(member);
        present.splice(present.indexOf(member), 1);
    }

    /** Starts a member at a new address, which asks the present ones to add it. */
    async function startMachine(): Promise<GroupMember> {
        const member = group.addMember();
        const addresses = [...present, member].map(({ address }) => address);
        present.push(member);
        await group.start(member, { join: { addresses, startsGroup: false } });
        return member;
    }

    /** Restarts a present member on an empty disk. */
    async function loseDisk(position: number): Promise<void> {
        await group.replaceDisk(present[position]!);
    }
}

describe("members that are lost for good", () => {
    it("leave room for others after 20 lost disks and machines in turn", async () => {
        const group = await createTestGroup({ seed: 31, memberCount: 3, options });
        const { loseMachine, startMachine, loseDisk } = createLosses(group);
        for (let round = 0; round < 20; round += 1) {
            await group.waitForLeader();
            if (round % 2 === 0) {
                await loseDisk(round % 3);
            }
            else {
                loseMachine(group.members.filter(({ log }) => log)[round % 3]!);
                await startMachine();
            }
            await group.advance(machineLossMilliseconds);
            await group.waitForVoters(3);
        }
        expect(group.getLeader()!.log!.getStatus().members.length).to.equal(3);
        await group.stop();
    });

    it("while they are learners don't keep the group from replacing a voter", async () => {
        const group = await createTestGroup({ seed: 32, memberCount: 3, options });
        const { loseMachine, startMachine, loseDisk } = createLosses(group);
        for (let round = 0; round < 20; round += 1) {
            await group.waitForLeader();
            const member = await startMachine();
            await group.advance(machineLossMilliseconds);
            loseMachine(member);
        }
        await loseDisk(0);
        await group.waitForVoters(3);
        await group.advance(40_000);
        expect(group.getLeader()!.log!.getStatus().members.length).to.be.at.most(6);
        await group.stop();
    });
});
