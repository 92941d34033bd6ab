import fc from "fast-check";
import { consensusTiming } from "../../../platform/roles/consensusTiming";
import { openMemberStorage } from "../../../platform/roles/openMemberStorage";
import { ConsensusRole } from "../../../src/control/consensus";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics } from "../../../src/metrics";
import { createRandomSource } from "../../../src/runtime";
import { createTestGroup, GroupMember, TestGroup } from "../../control/consensus/createTestGroup";

const runFactor = Number(process.env.BASILWING_RUN_FACTOR ?? 1);
const seedOffset = Number(process.env.BASILWING_SEED ?? 0);
const timeoutMilliseconds = 60_000 * Math.max(1, runFactor);
const logger = createSilentLogger();
const metrics = createMetrics();

/** How long a change may take once the last disk has room: its own time limit, and the time to catch up before it. */
const recoveryMilliseconds = 4_000 + 4_000;
const attemptMilliseconds = 1_000;
const changeIntervalMilliseconds = 130;

/** One disk that is full for a while. */
interface FullDisk {
    /** The number of the member whose disk is full; undefined for the present leader. */
    member: number | undefined;
    /** The bytes that the disk still takes. */
    freeBytes: number;
    /** How long the disk is full, in milliseconds. */
    milliseconds: number;
    /** The pause until the next disk is full, in milliseconds. */
    pauseMilliseconds: number;
    /** What happens to a process while the disk is full. */
    beside: { kind: "nothing" | "leaderEnds"; } | { kind: "memberEnds"; member: number; delayMilliseconds: number; };
}

/** Operators and supervised processes of a group, whose processes end and start again as those of control members do. */
interface SupervisedGroup {
    group: TestGroup;
    /** Sends a change to one member after another, until it is committed. */
    submitChange(): Promise<void>;
    /** Ends a member's process, which is started again. */
    restart(member: GroupMember): void;
    /** Ends the supervision. */
    stop(): Promise<void>;
}

describe("disks that are full one after another", () => {
    async function startSupervisedGroup(
        seed: number,
        memberCount: number,
        learnerCount: number,
    ): Promise<SupervisedGroup> {
        const random = createRandomSource(seed + 1);
        const group = await createTestGroup({
            seed,
            memberCount,
            learnerCount,
            options: { timing: consensusTiming, limits: { voterCount: memberCount } },
        });
        let isSupervised = true;
        for (const member of group.members) {
            group.endProcess(member);
            void start(member);
        }
        return { group, submitChange, restart, stop };

        async function start(member: GroupMember): Promise<void> {
            const opened = await openMemberStorage({
                folder: "/log",
                clock: member.clock,
                logger,
                metrics,
                fileSystem: member.disk.fileSystem,
            });
            if (!opened) {
                throw new Error(`${member.address} can't use its disk any more`);
            }
            group.startOnStorage(member, opened.storage);
            const { log } = member;
            let isEnding = false;
            log!.addStatusListener(({ role }) => {
                if (role === ConsensusRole.Stopped && isSupervised && member.log === log && !isEnding) {
                    isEnding = true;
                    void opened.waitForDisk().then(() => member.log === log && restart(member));
                }
            });
        }

        function restart(member: GroupMember): void {
            if (member.log) {
                group.endProcess(member);
                void group.clock.sleep(200 + random.getInteger(1_000)).then(() => start(member));
            }
        }

        async function submitChange(): Promise<void> {
            let redirectedTo: GroupMember | undefined;
            while (isSupervised) {
                const member = redirectedTo ?? group.members[random.getInteger(group.members.length)]!;
                const outcome = member.log && await Promise.race([
                    member.log.propose(Buffer.from("change")),
                    group.clock.sleep(attemptMilliseconds),
                ]);
                if (outcome?.kind === "committed") {
                    return;
                }
                const leaderAddress = outcome?.kind === "notLeader" ? outcome.leaderAddress : undefined;
                redirectedTo = group.members.find(({ address }) => address === leaderAddress && !redirectedTo);
                await group.clock.sleep(redirectedTo ? 1 : 100 + random.getInteger(200));
            }
        }

        function stop(): Promise<void> {
            isSupervised = false;
            return group.stop();
        }
    }

    async function doTest(
        input: { seed: number; memberCount: number; learnerCount: number; rounds: readonly (readonly FullDisk[])[]; },
    ): Promise<void> {
        const { group, submitChange, restart, stop } = await startSupervisedGroup(
            input.seed,
            input.memberCount,
            input.learnerCount,
        );
        await group.waitForLeader();
        for (const round of input.rounds) {
            for (const fullDisk of round) {
                await fillDisk(fullDisk);
            }
            await expectChangeInTime();
        }
        await stop();

        async function fillDisk(fullDisk: FullDisk): Promise<void> {
            const { beside } = fullDisk;
            const leader = group.getLeader();
            const member = fullDisk.member === undefined
                ? leader ?? group.members[0]!
                : group.members[fullDisk.member]!;
            member.disk.setFreeBytes(fullDisk.freeBytes);
            if (beside.kind === "memberEnds") {
                void group.clock.sleep(beside.delayMilliseconds).then(() => restart(group.members[beside.member]!));
            }
            else if (beside.kind === "leaderEnds" && leader) {
                restart(leader);
            }
            await advanceWithChanges(fullDisk.milliseconds);
            member.disk.setFreeBytes(Infinity);
            await advanceWithChanges(fullDisk.pauseMilliseconds);
        }

        async function advanceWithChanges(milliseconds: number): Promise<void> {
            for (let elapsed = 0; elapsed < milliseconds; elapsed += changeIntervalMilliseconds) {
                void submitChange();
                await group.advance(Math.min(changeIntervalMilliseconds, milliseconds - elapsed));
            }
        }

        async function expectChangeInTime(): Promise<void> {
            await group.waitFor(submitChange(), recoveryMilliseconds);
            await group.advanceUntil(
                () => group.members.every(({ log }) => log && log.getStatus().role !== ConsensusRole.Stopped),
                recoveryMilliseconds,
            );
        }
    }

    function createRounds(memberCount: number): fc.Arbitrary<FullDisk[][]> {
        const member = fc.integer({ min: 0, max: memberCount - 1 });
        const fullDisk: fc.Arbitrary<FullDisk> = fc.record({
            member: fc.option(member, { nil: undefined }),
            freeBytes: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 600 })),
            milliseconds: fc.integer({ min: 100, max: 4_000 }),
            pauseMilliseconds: fc.integer({ min: 0, max: 1_500 }),
            beside: fc.oneof(
                fc.record({ kind: fc.constantFrom("nothing" as const, "leaderEnds" as const) }),
                fc.record({
                    kind: fc.constant("memberEnds" as const),
                    member,
                    delayMilliseconds: fc.integer({ min: 0, max: 3_000 }),
                }),
            ),
        });
        return fc.array(fc.array(fullDisk, { minLength: 1, maxLength: 6 }), { minLength: 1, maxLength: 4 });
    }

    function checkRounds(memberCount: number, learnerCount: number, seed: number, numRuns: number): Promise<void> {
        return fc.assert(
            fc.asyncProperty(
                fc.integer(),
                createRounds(memberCount + learnerCount),
                (groupSeed, rounds) => doTest({ seed: groupSeed, memberCount, learnerCount, rounds }),
            ),
            { seed: seed + seedOffset, numRuns: numRuns * runFactor },
        );
    }

    it("leave three members able to accept changes", () => checkRounds(3, 0, 31, 8));
    it("leave members with spare ones able to accept changes", () => checkRounds(3, 2, 32, 6));
    it("leave five members with spare ones able to accept changes", () => checkRounds(5, 2, 33, 4));
}).timeout(timeoutMilliseconds);
