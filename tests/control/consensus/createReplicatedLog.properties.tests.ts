import fc from "fast-check";
import { createTestGroup } from "./createTestGroup";
import { createFaultActions, createMembershipActions, createRestartActions, performAction } from "./faultActions";

const runFactor = Number(process.env.BASILWING_RUN_FACTOR ?? 1);
const seedOffset = Number(process.env.BASILWING_SEED ?? 0);
const timeoutMilliseconds = 60_000 * Math.max(1, runFactor);
const rate = fc.double({ min: 0.96, max: 1.04, noNaN: true });

describe("createReplicatedLog under faults", () => {
    it("keeps its invariants under crashes, partitions, delays and lost messages", async () => {
        const memberCount = 3;
        await fc.assert(
            fc.asyncProperty(
                fc.integer(),
                fc.array(rate, { minLength: memberCount, maxLength: memberCount }),
                fc.array(createFaultActions(memberCount), { minLength: 4, maxLength: 16 }),
                async (seed, rates, actions) => {
                    const group = await createTestGroup({ seed, memberCount, rates });
                    for (const action of actions) {
                        await performAction(group, action);
                    }
                    await group.checkRecovery();
                    await group.stop();
                },
            ),
            { seed: 21 + seedOffset, numRuns: 900 * runFactor },
        );
    }).timeout(timeoutMilliseconds);

    it("keeps its invariants while members change, are replaced and lose their disks", async () => {
        const memberCount = 4;
        await fc.assert(
            fc.asyncProperty(
                fc.integer(),
                fc.array(rate, { minLength: memberCount, maxLength: memberCount }),
                fc.array(createMembershipActions(memberCount), { minLength: 3, maxLength: 14 }),
                async (seed, rates, actions) => {
                    const group = await createTestGroup({
                        seed,
                        memberCount: 3,
                        learnerCount: 1,
                        rates,
                        options: { timing: { voterReplacementTimeoutMilliseconds: 2_000 } },
                    });
                    for (const action of actions) {
                        await performAction(group, action);
                    }
                    await group.checkRecovery();
                    await group.waitForVoters(3);
                    await group.stop();
                },
            ),
            { seed: 22 + seedOffset, numRuns: 300 * runFactor },
        );
    }).timeout(timeoutMilliseconds);

    it("keeps its invariants when all members restart at once, also while members change", async () => {
        const memberCount = 4;
        await fc.assert(
            fc.asyncProperty(
                fc.integer(),
                fc.array(rate, { minLength: memberCount, maxLength: memberCount }),
                fc.array(createRestartActions(memberCount), { minLength: 3, maxLength: 14 }),
                async (seed, rates, actions) => {
                    const group = await createTestGroup({
                        seed,
                        memberCount: 3,
                        learnerCount: 1,
                        rates,
                        options: { timing: { voterReplacementTimeoutMilliseconds: 2_000 } },
                    });
                    for (const action of actions) {
                        await performAction(group, action);
                    }
                    await group.checkRecovery();
                    await group.waitForVoters(3);
                    await group.stop();
                },
            ),
            { seed: 23 + seedOffset, numRuns: 300 * runFactor },
        );
    }).timeout(timeoutMilliseconds);
});
