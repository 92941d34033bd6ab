import { expect } from "chai";
import { consensusTiming } from "../../../platform/roles/consensusTiming";
import { ConsensusRole } from "../../../src/control/consensus";
import { createTestGroup } from "../../control/consensus/createTestGroup";

describe("disks that are full in turn while a group is formed", () => {
    /** Fills the disks of some of three members, one after the other, and restarts the processes that end. */
    async function doTest(fullDiskCount: number) {
        const group = await createTestGroup({ seed: 3, memberCount: 0, options: { timing: consensusTiming } });
        const members = [group.addMember(), group.addMember(), group.addMember()];
        const join = { addresses: members.map(({ address }) => address), startsGroup: true };
        for (const member of members) {
            await group.start(member, { join });
        }
        for (const member of members.slice(0, fullDiskCount)) {
            member.disk.setFreeBytes(0);
            await group.advance(1_500);
            member.disk.setFreeBytes(Infinity);
            if (member.log!.getStatus().role === ConsensusRole.Stopped) {
                group.endProcess(member);
                await group.advance(500);
                await group.start(member, { join: { ...join, startsGroup: false } });
            }
        }
        await group.advance(60_000);
        expect(group.getLeader()).to.not.equal(undefined);
    }

    it("leave a group with a leader after one disk", () => doTest(1));
    it("leave a group with a leader after two disks", () => doTest(2));
    it("leave a group with a leader after all disks", () => doTest(3));
});
