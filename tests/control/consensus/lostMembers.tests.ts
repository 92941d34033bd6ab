import bunyan from "bunyan";
import { expect } from "chai";
import { recoverAsOnlyVoter } from "../../../src/control/storage";
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
    it("as a majority are reported by the survivor once their addresses answer, not while they are silent", async () => {
        const lines = new bunyan.RingBuffer({ limit: 1_000 });
        const logger = bunyan.createLogger({ name: "test", streams: [{ type: "raw", level: "error", stream: lines }] });
        const group = await createTestGroup({ seed: 33, memberCount: 3, options: { ...options, logger } });
        await group.waitForLeader();
        const [survivor, ...others] = group.members as [GroupMember, ...GroupMember[]];
        others.forEach(group.crash);
        await group.advance(30_000);
        expect(survivor.log!.getStatus().lostVoterAddresses).to.deep.equal([]);
        await group.replaceDisk(others[0]!);
        await group.advance(10_000);
        expect(survivor.log!.getStatus().lostVoterAddresses).to.deep.equal([]);
        await group.replaceDisk(others[1]!);
        await group.advance(10_000);
        expect(survivor.log!.getStatus().lostVoterAddresses).to.deep.equal(["m1", "m2"]);
        await group.advance(120_000);
        const messages: string[] = lines.records.map((record: { msg: string; }) => record.msg);
        expect(messages.filter(message => message.startsWith("a majority of voters is lost")).length).to.equal(3);
        await group.stop();
    });

    it("and return with their disks, or leave a majority, are not reported", async () => {
        const group = await createTestGroup({ seed: 34, memberCount: 3, options });
        await group.waitForLeader();
        group.members.slice(1).forEach(group.crash);
        await group.replaceDisk(group.members[1]!);
        await group.start(group.members[2]!);
        await group.waitForVoters(3);
        await group.advance(30_000);
        group.members.forEach(({ log }) => expect(log!.getStatus().lostVoterAddresses).to.deep.equal([]));
        await group.stop();
    });

    it("as a majority are replaced once an operator makes the survivor the only voter, which keeps its log", async () => {
        const group = await createTestGroup({ seed: 35, memberCount: 3, options });
        const leader = await group.waitForLeader();
        for (let number = 0; number < 12; number += 1) {
            expect(await group.waitFor(group.propose(leader))).to.equal("committed");
        }
        await group.advance(1_000);
        const [survivor, ...others] = group.members as [GroupMember, ...GroupMember[]];
        group.members.forEach(group.crash);
        await group.start(survivor);
        const { storage } = survivor;
        await group.waitFor(survivor.log!.stop());
        expect((await group.waitFor(recoverAsOnlyVoter(storage!, 0))).kind).to.equal("recovered");
        group.crash(survivor);
        await group.start(survivor);
        for (const member of others) {
            await group.replaceDisk(member);
        }
        await group.waitForVoters(3);
        await group.checkRecovery();
        await group.stop();
    });

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
