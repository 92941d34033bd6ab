import { expect } from "chai";
import { ConsensusLimits, StateMachine } from "../../../src/control/consensus";
import { createTestGroup, GroupMember, TestGroup } from "./createTestGroup";

const usualLimits = {
    snapshotThresholdEntries: 20_000,
    retainedEntries: 1_000,
    snapshotPartBytes: 524_288,
    maximumMessageBytes: 1_048_576,
};

/** A state machine whose state is its last command, and which counts what it does. */
interface DocumentMachine extends StateMachine {
    readonly counts: { applied: number; restored: number; taken: number; };
}

function createDocumentMachine(stateBytes: number): DocumentMachine {
    const counts = { applied: 0, restored: 0, taken: 0 };
    return {
        counts,
        apply: () => {
            counts.applied += 1;
            return new Uint8Array();
        },
        takeSnapshot: () => {
            counts.taken += 1;
            return Buffer.alloc(stateBytes);
        },
        restoreSnapshot: () => void (counts.restored += 1),
    };
}

interface HistoryOptions {
    /** The size of a snapshot, in bytes. */
    stateBytes: number;
    /** The number of changes, of 5,000 bytes each. */
    changeCount?: number;
    /** The limits that differ from the usual ones. */
    limits?: Partial<ConsensusLimits>;
}

describe("createApplier", () => {
    async function withHistory(
        { stateBytes, changeCount = 2_300, limits = {} }: HistoryOptions,
        doTest: (group: TestGroup, leader: GroupMember, machine: DocumentMachine) => Promise<void>,
    ): Promise<void> {
        const group = await createTestGroup({
            seed: 8,
            memberCount: 0,
            options: { limits: { ...usualLimits, ...limits } },
        });
        const members = [group.addMember(), group.addMember(), group.addMember()];
        const join = { addresses: members.map(({ address }) => address), startsGroup: true };
        const machines = new Map(members.map(member => [member, createDocumentMachine(stateBytes)]));
        for (const member of members) {
            await group.start(member, { join, stateMachine: machines.get(member)! });
        }
        const leader = await group.waitForLeader();
        for (let count = 0; count < changeCount; count += 10) {
            const changes = Array.from({ length: 10 }, () => leader.log!.propose(Buffer.alloc(5_000, count)));
            const outcomes = await group.waitFor(Promise.all(changes));
            expect(outcomes.every(({ kind }) => kind === "committed")).to.equal(true);
        }
        await doTest(group, leader, machines.get(leader)!);
        await group.stop();
    }

    /** Starts a member again, on an empty disk where told; returns what its state machine did until it had caught up. */
    async function restart(group: TestGroup, leader: GroupMember, isEmptied: boolean) {
        const member = group.members.find(candidate => candidate !== leader)!;
        const machine = createDocumentMachine(0);
        group.crash(member);
        if (isEmptied) {
            member.disk.clear();
        }
        await group.start(member, { stateMachine: machine });
        await group.waitForVoters(3);
        const { lastIndex } = leader.log!.getStatus();
        await group.advanceUntil(() => member.log!.getStatus().appliedIndex >= lastIndex, 10_000);
        return machine.counts;
    }

    it("takes snapshots that keep the log small where the state is small", () =>
        withHistory({ stateBytes: 10_000 }, async (group, ...[, machine]) => {
            for (const member of group.members) {
                expect(member.storage!.getEntryBytes()).to.be.below(1_200_000);
            }
            expect(machine.counts.taken).to.be.within(10, 30);
        }));

    it("takes snapshots rarely where the state is large", () =>
        withHistory({ stateBytes: 1_000_000 }, async (...[, , machine]) => {
            expect(machine.counts.taken).to.be.within(1, 3);
        }));

    it("has a member with a lost disk apply a small part of a long history", () =>
        withHistory({ stateBytes: 10_000 }, async (group, leader) => {
            const { applied, restored } = await restart(group, leader, true);
            expect(applied).to.be.below(120);
            expect(restored).to.be.above(0);
        }));

    it("has a restarted member apply a small part of a long history", () =>
        withHistory({ stateBytes: 10_000 }, async (group, leader) => {
            expect((await restart(group, leader, false)).applied).to.be.below(120);
        }));

    describe("a member without a log, while the leader's log is whole", () => {
        function doTest(stateBytes: number, expected: { applied: number; restored: number; }): Promise<void> {
            const limits = { snapshotThresholdEntries: 50, snapshotMinimumLogBytes: 1_000_000 };
            return withHistory({ stateBytes, changeCount: 60, limits }, async (group, leader) => {
                expect(leader.storage!.getFirstIndex()).to.equal(1n);
                const { applied, restored } = await restart(group, leader, true);
                expect({ applied: applied > 30 ? 60 : 0, restored }).to.deep.equal(expected);
            });
        }

        it("gets the snapshot where that is smaller", () => doTest(100, { applied: 0, restored: 1 }));
        it("gets the entries where they are smaller", () => doTest(900_000, { applied: 60, restored: 0 }));
    });
});
