import { expect } from "chai";
import fc from "fast-check";
import { createTestSystem } from "./createTestSystem";

describe("createDistribution", function() {
    const runs = Number(process.env["BASILWING_DISTRIBUTION_RUNS"] ?? 12);
    this.timeout(60_000 + runs * 5_000);

    type System = ReturnType<typeof createTestSystem>;

    const startupMilliseconds = 3_000;
    const recoveryMilliseconds = 40_000;
    const changeMilliseconds = 15_000;

    /** Runs one event. A number chooses its nodes, so that any list of events is a valid scenario. */
    async function runEvent(system: System, kind: string, choice: number): Promise<void> {
        const { nodeIds, memberIds, sidecarIds, entryIds } = system;
        const node = nodeIds[choice % nodeIds.length]!;
        const leader = system.group.getLeader() ?? memberIds[0]!;
        const half = sidecarIds.filter(id => (choice >> Number(id.slice(1))) % 2 === 1);
        switch (kind) {
            case "change":
                return await system.change();
            case "isolate":
                return system.isolate(node, nodeIds, (["both", "in", "out"] as const)[choice % 3]!);
            case "isolateFromControl":
                return [...half, ...entryIds].forEach(id => system.isolate(id, memberIds, "both"));
            case "isolateLeader":
                return system.isolate(leader, memberIds, "both");
            case "loseQuorum":
                return memberIds.forEach(id => system.isolate(id, nodeIds, "both"));
            case "restart":
                return system.restart(node);
            case "heal":
                return system.network.heal();
            default:
                return;
        }
    }

    const kinds = [
        "change",
        "change",
        "isolate",
        "isolateFromControl",
        "isolateLeader",
        "loseQuorum",
        "restart",
        "heal",
    ];
    const events = fc.array(
        fc.record({
            kind: fc.constantFrom(...kinds),
            choice: fc.nat(10_000),
            milliseconds: fc.constantFrom(50, 300, 1_000, 4_000, 12_000),
        }),
        { minLength: 4, maxLength: 14 },
    );

    it("admits no work under a revision older than one reported in force", async () => {
        await fc.assert(
            fc.asyncProperty(fc.nat(1_000_000), events, async (seed, scenario) => {
                const system = createTestSystem(seed, { members: 3, sidecars: 5, entries: 2 });
                await system.run(startupMilliseconds);
                for (const { kind, choice, milliseconds } of scenario) {
                    await runEvent(system, kind, choice);
                    await system.run(milliseconds);
                }
                expect(system.violations).to.deep.equal([]);
                system.network.heal();
                await system.run(recoveryMilliseconds);
                await system.change();
                await system.run(changeMilliseconds);
                expect(system.violations).to.deep.equal([]);
                const newest = [...system.members.values()].map(member => member.configuration.getRevision());
                expect(newest.every(revision => revision === system.getInForce())).to.equal(true);
                expect([...system.processes.values()].every(process => process.authority.isLeaseFresh())).to.equal(
                    true,
                );
                await system.stop();
            }),
            { seed: Number(process.env["BASILWING_DISTRIBUTION_SEED"] ?? 43), numRuns: runs, endOnFailure: true },
        );
    });
});
