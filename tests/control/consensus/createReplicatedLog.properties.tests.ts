import fc from "fast-check";
import { createTestGroup, GroupMember, TestGroup } from "./createTestGroup";
import { createFaultActions, createMembershipActions, createRestartActions, performAction } from "./faultActions";

const runFactor = Number(process.env.BASILWING_RUN_FACTOR ?? 1);
const seedOffset = Number(process.env.BASILWING_SEED ?? 0);
const timeoutMilliseconds = 60_000 * Math.max(1, runFactor);
/** Voters are replaced soon, and the size of the log decides about snapshots as well as the number of its entries. */
const repairOptions = {
    timing: { voterReplacementTimeoutMilliseconds: 2_000 },
    limits: { snapshotMinimumLogBytes: 40 },
};
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
                        options: repairOptions,
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
                        options: repairOptions,
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

    it("keeps a majority while disks are lost in turn, each a repair time after the last, beside slow members", async () => {
        const memberCount = 3;
        const repairMilliseconds = 4_000;
        await fc.assert(
            fc.asyncProperty(
                fc.integer(),
                fc.array(fc.integer({ min: 0, max: 70 }), { minLength: memberCount, maxLength: memberCount }),
                fc.array(
                    fc.record({
                        member: fc.option(fc.integer({ min: 0, max: memberCount - 1 }), { nil: undefined }),
                        powerFailureMilliseconds: fc.option(fc.integer({ min: 0, max: 1_000 }), { nil: undefined }),
                    }),
                    { minLength: 2, maxLength: 5 },
                ),
                async (seed, stoppedMilliseconds, losses) => {
                    const group = await createTestGroup({ seed, memberCount, options: repairOptions });
                    await group.waitForLeader();
                    for (const { member, powerFailureMilliseconds } of losses) {
                        // Without a number, the leader loses its disk.
                        const leader = group.getLeader();
                        const lost = member === undefined ? leader : group.members[member];
                        if (leader) {
                            void group.propose(leader);
                        }
                        await loseDisk(group, lost ?? group.members[0]!, powerFailureMilliseconds);
                        await advanceSlowly(group, stoppedMilliseconds, repairMilliseconds);
                    }
                    await group.checkRecovery();
                    await group.waitForVoters(3);
                    await group.stop();
                },
            ),
            { seed: 24 + seedOffset, numRuns: 60 * runFactor },
        );
    }).timeout(timeoutMilliseconds);
});

/** Empties the disk of a member; where a time is given, all lose power, and the last other one starts that much later. */
async function loseDisk(group: TestGroup, lost: GroupMember, powerFailureMilliseconds?: number): Promise<void> {
    if (powerFailureMilliseconds === undefined) {
        return group.replaceDisk(lost);
    }
    const [second, third] = group.members.filter(member => member !== lost);
    group.members.forEach(group.crash);
    await group.replaceDisk(lost);
    await group.start(second!);
    await group.advance(powerFailureMilliseconds);
    await group.start(third!);
}

/** Advances the time while each process is stopped for a part of each 100 ms. */
async function advanceSlowly(
    group: TestGroup,
    stoppedMilliseconds: readonly number[],
    milliseconds: number,
): Promise<void> {
    const stepMilliseconds = 10;
    for (let elapsed = 0; elapsed < milliseconds; elapsed += stepMilliseconds) {
        group.members.forEach(({ address }, number) => {
            const phase = (elapsed + number * 30) % 100;
            group.network.setFrozen(address, phase < stoppedMilliseconds[number]!);
        });
        await group.advance(stepMilliseconds);
    }
    group.members.forEach(({ address }) => group.network.setFrozen(address, false));
}
