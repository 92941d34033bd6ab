import { expect } from "chai";
import { ConsensusPeers, ConsensusRole } from "../../../src/control/consensus";
import { createTestGroup, GroupMember, TestGroup } from "./createTestGroup";

describe("runJoinLoop", () => {
    async function startGroup(): Promise<TestGroup> {
        const group = await createTestGroup({ seed: 5, memberCount: 3 });
        await group.waitForLeader();
        return group;
    }

    /** Counts the questions of a member, and when the last answer to each kind of question arrived. */
    function countJoinRequests(group: TestGroup, member: GroupMember) {
        const peers = group.network.createPeers(member.address);
        const counts = new Map<string, number>();
        const counting: ConsensusPeers = {
            ...peers,
            requestJoin: (address, request) => {
                counts.set(address, (counts.get(address) ?? 0) + 1);
                return peers.requestJoin(address, request);
            },
        };
        return { counts, peers: counting };
    }

    it("asks again soon where one member was dark and no leader existed at the first question", async () => {
        const group = await startGroup();
        const [emptied, present, dark] = group.members;
        group.members.forEach(group.crash);
        emptied!.disk.clear();
        emptied!.isInitialMember = false;
        await group.start(emptied!);
        await group.start(present!);
        await group.advance(900);
        await group.start(dark!);
        const startMilliseconds = group.clock.getMilliseconds();
        await group.waitForVoters(3);
        expect(group.clock.getMilliseconds() - startMilliseconds).to.be.below(3_000);
        await group.checkRecovery();
        await group.stop();
    });

    it("is not delayed by an address that never answers", async () => {
        const group = await startGroup();
        const [emptied] = group.members.filter(member => member !== group.getLeader());
        const addresses = ["nowhere", ...group.members.map(({ address }) => address)];
        group.crash(emptied!);
        emptied!.disk.clear();
        emptied!.isInitialMember = false;
        group.network.cut(emptied!.address, group.getLeader()!.address);
        await group.start(emptied!, { join: { addresses, startsGroup: false } });
        await group.advance(200);
        group.network.heal();
        const startMilliseconds = group.clock.getMilliseconds();
        await group.waitForVoters(3);
        expect(group.clock.getMilliseconds() - startMilliseconds).to.be.below(2_500);
        await group.stop();
    });

    it("asks each address at a bounded rate", async () => {
        const group = await startGroup();
        const [emptied, present, dark] = group.members;
        group.members.forEach(group.crash);
        emptied!.disk.clear();
        emptied!.isInitialMember = false;
        const { counts, peers } = countJoinRequests(group, emptied!);
        await group.start(emptied!, { peers });
        await group.start(present!);
        await group.advance(10_000);
        expect(counts.get(present!.address)).to.be.within(10, 101);
        expect(counts.get(dark!.address)).to.be.within(2, 14);
        await group.checkRecovery();
        await group.stop();
    });

    it("starts no group on answers of different rounds", async () => {
        const group = await createTestGroup({ seed: 6, memberCount: 0 });
        const members = [group.addMember(), group.addMember(), group.addMember()];
        const join = { addresses: members.map(({ address }) => address), startsGroup: true };
        const [first, second, third] = members;
        await group.start(first!, { join });
        for (let round = 0; round < 4; round += 1) {
            await group.start(second!, { join });
            await group.advance(1_000);
            group.crash(second!);
            await group.advance(10_000);
            await group.start(third!, { join });
            await group.advance(1_000);
            group.crash(third!);
            await group.advance(10_000);
        }
        expect(first!.log!.getStatus()).to.include({ role: ConsensusRole.Learner, lastIndex: 0n });
        expect(first!.log!.getStatus().members).to.deep.equal([]);
        await group.start(second!, { join });
        await group.start(third!, { join });
        await group.waitForLeader();
        await group.stop();
    });

    it("starts no group where the others belong to one without a leader", async () => {
        const group = await startGroup();
        const [emptied, second, third] = group.members;
        const join = { addresses: group.members.map(({ address }) => address), startsGroup: true };
        group.members.forEach(group.crash);
        emptied!.disk.clear();
        emptied!.isInitialMember = false;
        group.network.cut(second!.address, third!.address);
        group.network.cut(third!.address, second!.address);
        await Promise.all(group.members.map(member => group.start(member, { join })));
        await group.advance(5_000);
        expect(emptied!.log!.getStatus().members).to.deep.equal([]);
        group.network.heal();
        await group.waitForVoters(3);
        await group.checkRecovery();
        await group.stop();
    });
});
