import fc from "fast-check";
import { GroupMember, TestGroup } from "./createTestGroup";

/** A fault that is injected into a group, or an operation on it. */
export type FaultAction =
    | { kind: "propose"; member: number; count: number; }
    | { kind: "read"; member: number; }
    | { kind: "wait"; milliseconds: number; }
    | { kind: "crash"; member: number; }
    | { kind: "start"; member: number; }
    | { kind: "restartAll"; downMember: number | undefined; }
    | { kind: "isolate"; member: number; }
    | { kind: "cut"; from: number; to: number; }
    | { kind: "heal"; }
    | { kind: "freeze"; member: number; }
    | { kind: "loss"; share: number; }
    | { kind: "delay"; milliseconds: number; }
    | { kind: "slowDisk"; member: number; milliseconds: number; }
    | { kind: "diskFailure"; member: number; after: number; }
    | { kind: "changeMembers"; member: number; isPromotion: boolean; }
    | { kind: "emptyDisk"; member: number; };

/** Creates an arbitrary of faults and operations on a group with fixed members. */
export function createFaultActions(memberCount: number): fc.Arbitrary<FaultAction> {
    const member = fc.integer({ min: 0, max: memberCount - 1 });
    return fc.oneof<fc.WeightedArbitrary<FaultAction>[]>(
        withWeight(
            6,
            fc.record({ kind: fc.constant("propose" as const), member, count: fc.integer({ min: 1, max: 4 }) }),
        ),
        withWeight(3, fc.record({ kind: fc.constant("read" as const), member })),
        withWeight(
            4,
            fc.record({ kind: fc.constant("wait" as const), milliseconds: fc.integer({ min: 1, max: 900 }) }),
        ),
        withWeight(2, fc.record({ kind: fc.constant("crash" as const), member })),
        withWeight(2, fc.record({ kind: fc.constant("start" as const), member })),
        withWeight(2, fc.record({ kind: fc.constant("isolate" as const), member })),
        withWeight(2, fc.record({ kind: fc.constant("cut" as const), from: member, to: member })),
        withWeight(2, fc.record({ kind: fc.constant("heal" as const) })),
        withWeight(1, fc.record({ kind: fc.constant("freeze" as const), member })),
        withWeight(
            1,
            fc.record({ kind: fc.constant("loss" as const), share: fc.double({ min: 0, max: 0.4, noNaN: true }) }),
        ),
        withWeight(
            1,
            fc.record({ kind: fc.constant("delay" as const), milliseconds: fc.integer({ min: 1, max: 250 }) }),
        ),
        withWeight(
            1,
            fc.record({
                kind: fc.constant("slowDisk" as const),
                member,
                milliseconds: fc.integer({ min: 1, max: 1_500 }),
            }),
        ),
        withWeight(
            1,
            fc.record({ kind: fc.constant("diskFailure" as const), member, after: fc.integer({ min: 0, max: 5 }) }),
        ),
    );
}

/** Creates an arbitrary of actions that also change the group's members. */
export function createMembershipActions(memberCount: number): fc.Arbitrary<FaultAction> {
    const member = fc.integer({ min: 0, max: memberCount - 1 });
    return fc.oneof<fc.WeightedArbitrary<FaultAction>[]>(
        withWeight(8, createFaultActions(memberCount)),
        withWeight(2, fc.record({ kind: fc.constant("changeMembers" as const), member, isPromotion: fc.boolean() })),
        withWeight(1, fc.record({ kind: fc.constant("emptyDisk" as const), member })),
    );
}

/** Creates an arbitrary of actions with restarts of all members at once, after which one may stay down. */
export function createRestartActions(memberCount: number): fc.Arbitrary<FaultAction> {
    const downMember = fc.option(fc.integer({ min: 0, max: memberCount - 1 }), { nil: undefined });
    return fc.oneof<fc.WeightedArbitrary<FaultAction>[]>(
        withWeight(6, createMembershipActions(memberCount)),
        withWeight(3, fc.record({ kind: fc.constant("restartAll" as const), downMember })),
    );
}

/** Performs an action on a group. */
export async function performAction(group: TestGroup, action: FaultAction): Promise<void> {
    switch (action.kind) {
        case "propose":
            withRunningMember(action.member, target => {
                for (let number = 0; number < action.count; number += 1) {
                    void group.propose(target);
                }
            });
            await group.advance(15);
            return;
        case "read":
            withRunningMember(action.member, target => void group.read(target));
            return;
        case "wait":
            return group.advance(action.milliseconds);
        case "crash":
            withRunningMember(action.member, group.crash);
            return;
        case "start":
            if (!group.members[action.member]!.log) {
                await group.start(group.members[action.member]!);
            }
            return;
        case "restartAll":
            group.members.filter(member => member.log).forEach(group.crash);
            await Promise.all(
                group.members
                    .filter((...[, number]) => number !== action.downMember)
                    .map(member => group.start(member)),
            );
            return;
        case "isolate":
            group.members.forEach((other, number) => {
                if (number !== action.member) {
                    group.network.cut(`m${action.member}`, other.address);
                    group.network.cut(other.address, `m${action.member}`);
                }
            });
            return;
        case "cut":
            group.network.cut(`m${action.from}`, `m${action.to}`);
            return;
        case "heal":
            group.network.heal();
            return;
        case "freeze":
            group.network.setFrozen(`m${action.member}`, true);
            return;
        case "loss":
            group.network.lossShare = action.share;
            group.network.duplicateShare = action.share;
            return;
        case "delay":
            group.network.maximumDelayMilliseconds = action.milliseconds;
            return;
        case "slowDisk":
            group.members[action.member]!.syncMilliseconds = { minimum: 0, maximum: action.milliseconds };
            return;
        case "diskFailure":
            group.members[action.member]!.disk.failAfter(action.after, action.after % 2 === 0 ? "ENOSPC" : "EIO");
            return;
        case "changeMembers": {
            const memberId = group.members[action.member]!.storage?.memberId;
            const leader = group.getLeader();
            // Removing a voter while another voter's disk is lost could leave a group without a majority.
            if (memberId !== undefined && leader && (action.isPromotion || hasAllVoterDisks(group, leader))) {
                void leader.log!.changeMembers({ kind: action.isPromotion ? "promote" : "remove", memberId });
            }
            return group.advance(30);
        }
        case "emptyDisk":
            // Disks are lost one at a time: the group has to recover all its voters before it loses the next one.
            await group.checkRecovery();
            await group.waitForVoters(3);
            await group.replaceDisk(group.members[action.member]!);
            return group.checkRecovery();
    }

    function withRunningMember(number: number, act: (target: GroupMember) => void): void {
        const target = group.members[number]!;
        if (target.log) {
            act(target);
        }
    }
}

/** Returns whether no voter has lost its disk. */
function hasAllVoterDisks(group: TestGroup, leader: GroupMember): boolean {
    const present = new Set(group.members.map(member => member.storage?.memberId));
    const voters = leader.log!.getStatus().members.filter(member => member.isVoter);
    return voters.every(voter => present.has(voter.memberId));
}

function withWeight<T extends FaultAction>(
    weight: number,
    arbitrary: fc.Arbitrary<T>,
): fc.WeightedArbitrary<FaultAction> {
    return { weight, arbitrary };
}
