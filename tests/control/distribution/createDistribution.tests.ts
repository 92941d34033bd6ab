import { expect } from "chai";
import { createTestSystem } from "./createTestSystem";

describe("createDistribution", function() {
    this.timeout(60_000);

    const startupMilliseconds = 8_000;
    const connectionMilliseconds = 20_000;
    const leaseExpiryMilliseconds = 12_000;
    let system: ReturnType<typeof createTestSystem>;

    beforeEach(async () => {
        system = createTestSystem(1, { members: 3, sidecars: 5, entries: 1 });
        await system.run(1_000);
    });

    afterEach(async () => {
        await system.stop();
        expect(system.violations).to.deep.equal([]);
    });

    /** Starts the system with an entry and a sidecar that have only one member in reach. */
    async function startConnectedOnlyTo(memberId: string): Promise<void> {
        system.pin(["e0", "c4"], memberId);
        await system.run(connectionMilliseconds);
        await system.change();
        await system.run(1_000);
        expectInForce(1n);
    }

    function expectInForce(revision: bigint): void {
        expect(system.getInForce()).to.equal(revision);
    }

    /** Gets how many dispatches were admitted while time passed. */
    async function countAdmitted(milliseconds: number): Promise<number> {
        const before = system.getAdmittedCount();
        await system.run(milliseconds);
        return system.getAdmittedCount() - before;
    }

    function getOther(memberId: string): string {
        return system.memberIds.find(other => other !== memberId)!;
    }

    describe("a change", () => {
        it("is in force at once where all are in reach", async () => {
            await system.run(startupMilliseconds);
            await system.change();
            await system.run(1_000);
            expectInForce(1n);
        });

        it("waits for the lease of a process that is cut off, and no longer", async () => {
            await startConnectedOnlyTo(system.group.getLeader()!);
            system.isolate("e0", system.memberIds, "both");
            await system.change();
            await system.run(1_000);
            expectInForce(1n);
            await system.run(leaseExpiryMilliseconds);
            expectInForce(2n);
        });

        it("waits for the leases that a member cut off from the leader has given", async () => {
            const member = getOther(system.group.getLeader()!);
            await startConnectedOnlyTo(member);
            system.isolate(member, system.memberIds, "both");
            await system.change();
            await system.run(1_000);
            expectInForce(1n);
            await system.run(leaseExpiryMilliseconds);
            expectInForce(2n);
        });

        it("waits for the leases that a deposed leader has given", async () => {
            const leader = system.group.getLeader()!;
            await startConnectedOnlyTo(leader);
            system.isolate(leader, system.memberIds, "both");
            await system.run(1_500);
            expect(system.group.getLeader()).to.not.equal(leader);
            await system.change();
            await system.run(1_000);
            expectInForce(1n);
            await system.run(leaseExpiryMilliseconds);
            expectInForce(2n);
        });

        it("waits for the leases that the former run of a deposed leader has given", async () => {
            const leader = system.group.getLeader()!;
            await startConnectedOnlyTo(leader);
            system.isolate("e0", system.memberIds, "both");
            system.isolate("c4", system.memberIds, "both");
            system.restart(leader);
            await system.run(1_500);
            await system.change();
            await system.run(1_000);
            expectInForce(1n);
            await system.run(leaseExpiryMilliseconds);
            expectInForce(2n);
        });

        it("waits for the leases that a stopped member has given", async () => {
            const member = getOther(system.group.getLeader()!);
            await startConnectedOnlyTo(member);
            const { distribution } = system.members.get(member)!;
            void distribution.stop().then(distribution.announceShutdown);
            await system.run(300);
            await system.change();
            await system.run(1_500);
            expectInForce(1n);
            await system.run(leaseExpiryMilliseconds);
            expectInForce(2n);
        });

        it("is not in force without a majority of the sidecars", async () => {
            await system.run(startupMilliseconds);
            ["c0", "c1", "c2", "e0"].forEach(id => system.isolate(id, system.memberIds, "both"));
            await system.change();
            await system.run(leaseExpiryMilliseconds);
            expectInForce(0n);
            system.network.heal();
            await system.run(startupMilliseconds);
            expectInForce(1n);
        });
    });

    describe("a lease", () => {
        it("that comes late is short", async () => {
            const leader = system.group.getLeader()!;
            await startConnectedOnlyTo(leader);
            system.network.cut(leader, "e0");
            system.network.cut(leader, "c4");
            await system.run(1_500);
            system.network.heal();
            system.pin(["e0", "c4"], leader);
            await system.run(100);
            system.isolate("e0", system.memberIds, "both");
            system.isolate("c4", system.memberIds, "both");
            await system.change();
            await system.run(leaseExpiryMilliseconds);
            expectInForce(2n);
        });

        it("is not given by a member that lags behind what is in force", async () => {
            const member = getOther(system.group.getLeader()!);
            await startConnectedOnlyTo(member);
            system.isolate(member, system.memberIds, "both");
            await system.change();
            await system.run(leaseExpiryMilliseconds);
            expectInForce(2n);
            system.network.heal();
            system.pin(["e0", "c4"], member);
            expect(await countAdmitted(startupMilliseconds)).to.be.greaterThan(0);
        });
    });

    describe("without leases", () => {
        beforeEach(async () => {
            await system.run(startupMilliseconds);
            await system.change();
            await system.run(1_000);
            expectInForce(1n);
        });

        it("all serve on when the control members are gone", async () => {
            system.memberIds.forEach(id => system.isolate(id, system.nodeIds, "both"));
            await system.run(leaseExpiryMilliseconds);
            expect(system.processes.get("e0")!.authority.isLeaseFresh()).to.equal(false);
            expect(await countAdmitted(10_000)).to.be.greaterThan(0);
        });

        it("an entry that restarts serves by its peers' state", async () => {
            system.memberIds.forEach(id => system.isolate(id, system.nodeIds, "both"));
            await system.run(leaseExpiryMilliseconds);
            system.restart("e0");
            expect(await countAdmitted(3_000)).to.be.greaterThan(0);
        });

        it("an entry that restarts serves by a sidecar that has a lease", async () => {
            system.isolate("e0", system.memberIds, "both");
            system.restart("e0");
            expect(await countAdmitted(3_000)).to.be.greaterThan(0);
        });

        it("an entry that reaches no majority admits nothing", async () => {
            system.memberIds.forEach(id => system.isolate(id, system.nodeIds, "both"));
            system.isolate("e0", ["c0", "c1", "c2"], "both");
            await system.run(leaseExpiryMilliseconds);
            expect(await countAdmitted(5_000)).to.equal(0);
        });

        it("a sidecar that has vouched holds its acknowledgement back", async () => {
            [...system.sidecarIds, "e0"].forEach(id => system.isolate(id, system.memberIds, "both"));
            await system.change();
            await system.run(leaseExpiryMilliseconds);
            expect(await countAdmitted(1_000)).to.be.greaterThan(0);
            system.network.heal();
            ["c3", "c4", "e0"].forEach(id => system.isolate(id, system.memberIds, "both"));
            system.isolate("e0", ["c0", "c1", "c2"], "both");
            await system.run(60_000);
            expectInForce(2n);
        });

        it("a sidecar that restarts is not counted before the word of its former run is over", async () => {
            [...system.sidecarIds, "e0"].forEach(id => system.isolate(id, system.memberIds, "both"));
            await system.change();
            await system.run(leaseExpiryMilliseconds);
            expect(await countAdmitted(1_000)).to.be.greaterThan(0);
            system.network.heal();
            ["c3", "c4", "e0"].forEach(id => system.isolate(id, system.memberIds, "both"));
            system.isolate("e0", ["c0", "c1", "c2"], "both");
            ["c0", "c1", "c2"].forEach(system.restart);
            await system.run(30_000);
            expectInForce(2n);
        });

        it("an entry is refused by sidecars that know better", async () => {
            ["c3", "c4", "e0"].forEach(id => system.isolate(id, system.memberIds, "both"));
            system.isolate("e0", ["c0", "c1", "c2"], "both");
            await system.change();
            await system.run(leaseExpiryMilliseconds);
            expectInForce(2n);
            system.network.heal();
            system.memberIds.forEach(id => system.isolate(id, system.nodeIds, "both"));
            await system.run(leaseExpiryMilliseconds);
            expect(system.processes.get("e0")!.authority.getRevision()).to.equal(2n);
        });

        it("sidecars that have restarted vouch for nothing", async () => {
            ["c3", "c4", "e0"].forEach(id => system.isolate(id, system.memberIds, "both"));
            system.isolate("e0", ["c0", "c1", "c2"], "both");
            await system.change();
            await system.run(leaseExpiryMilliseconds);
            expectInForce(2n);
            system.network.heal();
            system.memberIds.forEach(id => system.isolate(id, system.nodeIds, "both"));
            ["c0", "c1", "c2"].forEach(system.restart);
            expect(await countAdmitted(leaseExpiryMilliseconds)).to.equal(0);
        });
    });
});
