import { createTestGroup } from "./createTestGroup";

describe("runMembershipMaintenance", () => {
    it("replaces a lost disk without waiting for an interval between the steps", async () => {
        const group = await createTestGroup({
            seed: 7,
            memberCount: 3,
            options: { timing: { maintenanceIntervalMilliseconds: 60_000 } },
        });
        const leader = await group.waitForLeader();
        const [emptied] = group.members.filter(member => member !== leader);
        const lostId = emptied!.storage!.memberId;
        await group.replaceDisk(emptied!);
        await group.advanceUntil(
            () => leader.log!.getStatus().members.every(member => member.memberId !== lostId),
            1_000,
        );
        await group.waitForVoters(3);
        await group.checkRecovery();
        await group.stop();
    });
});
