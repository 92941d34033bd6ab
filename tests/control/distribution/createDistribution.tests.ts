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

    /** Lets an entry process and a sidecar reach only one member, and waits until a first change is in force. */
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

    /** Advances the time, and counts the dispatches that were admitted. */
    async function countAdmitted(milliseconds: number): Promise<number> {
        const before = system.getAdmittedCount();
        await system.run(milliseconds);
        return system.getAdmittedCount() - before;
    }

    function getOther(memberId: string): string {
        return system.memberIds.find(other => other !== memberId)!;
    }

    describe("a change", () => {
        it("is in force at once if all nodes are reachable", async () => {
            await system.run(startupMilliseconds);
            await system.change();
            await system.run(1_000);
            expectInForce(1n);
        });

        it("waits until the lease of a disconnected process is over, and no longer", async () => {
            await startConnectedOnlyTo(system.group.getLeader()!);
            system.isolate("e0", system.memberIds, "both");
            await system.change();
            await system.run(1_000);
            expectInForce(1n);
            await system.run(leaseExpiryMilliseconds);
            expectInForce(2n);
        });

        it("waits for the leases granted by a member that is cut off from the leader", async () => {
            const member = getOther(system.group.getLeader()!);
            await startConnectedOnlyTo(member);
            system.isolate(member, system.memberIds, "both");
            await system.change();
            await system.run(1_000);
            expectInForce(1n);
            await system.run(leaseExpiryMilliseconds);
            expectInForce(2n);
        });

        it("waits for the leases granted by a deposed leader", async () => {
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

        it("waits for the leases granted by the former run of a deposed leader", async () => {
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

        it("waits for the leases granted by a stopped member", async () => {
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
        it("that arrives late runs only for the remaining time", async () => {
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

        it("is not granted by a member that lags behind the revision in force", async () => {
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

        it("all processes continue to serve without control members", async () => {
            system.memberIds.forEach(id => system.isolate(id, system.nodeIds, "both"));
            await system.run(leaseExpiryMilliseconds);
            expect(system.processes.get("e0")!.authority.isLeaseFresh()).to.equal(false);
            expect(await countAdmitted(10_000)).to.be.greaterThan(0);
        });

        it("a restarted entry process serves with the state of its peers", async () => {
            system.memberIds.forEach(id => system.isolate(id, system.nodeIds, "both"));
            await system.run(leaseExpiryMilliseconds);
            system.restart("e0");
            expect(await countAdmitted(3_000)).to.be.greaterThan(0);
        });

        it("a restarted entry process serves through a sidecar that has a lease", async () => {
            system.isolate("e0", system.memberIds, "both");
            system.restart("e0");
            expect(await countAdmitted(3_000)).to.be.greaterThan(0);
        });

        it("an entry process that reaches no majority of the sidecars admits nothing", async () => {
            system.memberIds.forEach(id => system.isolate(id, system.nodeIds, "both"));
            system.isolate("e0", ["c0", "c1", "c2"], "both");
            await system.run(leaseExpiryMilliseconds);
            expect(await countAdmitted(5_000)).to.equal(0);
        });

        it("a sidecar that has given peer confirmation delays its acknowledgement", async () => {
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

        it("a restarted sidecar is not counted before the peer confirmations of its former run have expired", async () => {
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

        it("an entry process is refused by sidecars that hold a newer revision", async () => {
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

        it("restarted sidecars give no peer confirmation", async () => {
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
