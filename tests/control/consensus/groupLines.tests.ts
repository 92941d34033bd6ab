import { expect } from "chai";
import { ConsensusRole } from "../../../src/control/consensus";
import { createRecordingLogger } from "../../support/createRecordingLogger";
import { createTestGroup, GroupMember, TestGroup } from "./createTestGroup";

describe("the lines about a group", () => {
    type Recording = ReturnType<typeof createRecordingLogger>;

    async function withGroup(
        doTest: (group: TestGroup, leader: GroupMember, recording: Recording) => Promise<void>,
        voterReplacementTimeoutMilliseconds = 1e9,
    ): Promise<void> {
        const recording = createRecordingLogger();
        const options = { logger: recording.logger, timing: { voterReplacementTimeoutMilliseconds } };
        const group = await createTestGroup({ seed: 1, memberCount: 3, options });
        const leader = await group.waitForLeader();
        await group.advance(2_000);
        await doTest(group, leader, recording);
        await group.stop();
    }

    function getFollower(group: TestGroup, leader: GroupMember): GroupMember {
        return group.members.find(member => member !== leader)!;
    }

    function getTolerance({ getLines }: Recording) {
        return getLines("the group bears").map(({ furtherLosses, unresponsive, level }) => [
            furtherLosses,
            unresponsive,
            level,
        ]);
    }

    it("tell once how many losses the group bears, and at each change", () =>
        withGroup(async (group, leader, recording) => {
            const follower = getFollower(group, leader);
            expect(getTolerance(recording)).to.deep.equal([[1, [], 30]]);
            expect(leader.log!.getStatus().tolerance).to.include({ responsiveVoters: 3, furtherLosses: 1 });
            expect(follower.log!.getStatus().tolerance).to.equal(undefined);
            group.crash(follower);
            await group.advance(3_000);
            expect(leader.log!.getStatus().tolerance).to.include({ responsiveVoters: 2, furtherLosses: 0 });
            await group.start(follower);
            await group.advance(3_000);
            expect(getTolerance(recording)).to.deep.equal([[1, [], 30], [0, [follower.address], 40], [1, [], 30]]);
            expect(recording.getLines("the group bears")[2]!.belowMilliseconds).to.be.within(2_500, 3_500);
        }));

    it("are bounded where a voter answers late again and again", () =>
        withGroup(async (group, leader, recording) => {
            const follower = getFollower(group, leader);
            for (let count = 0; count < 20; count += 1) {
                group.network.setFrozen(follower.address, true);
                await group.advance(450);
                group.network.setFrozen(follower.address, false);
                await group.advance(50);
            }
            const lines = recording.getLines("the group bears");
            expect(lines.length).to.be.within(5, 11);
            expect(lines.some(line => Number(line.suppressedChanges) > 0)).to.equal(true);
        }));

    it("tell the steps of a repair and its duration", () =>
        withGroup(async (group, leader, { getLines }) => {
            const follower = getFollower(group, leader);
            const { address } = follower;
            await group.replaceDisk(follower);
            await group.waitForVoters(3);
            await group.advance(1_000);
            expect(getLines("the group's repair begins").map(line => line.causes)).to.deep.equal([[
                `${address} lost its disk`,
            ]]);
            const [end, ...others] = getLines("the group's repair ended");
            expect(others).to.deep.equal([]);
            const steps = (end!.steps as string[]).map(step => step.replace(/ after .*/, ""));
            expect(steps).to.deep.equal([
                `learner added: ${address}`,
                `learner caught up: ${address}`,
                `became a voter: ${address}`,
                `voter removed: ${address}`,
            ]);
            expect(end!.durationMilliseconds).to.be.within(1, 3_000);
        }));

    it("tell that a leader left a repair to another one", () =>
        withGroup(async (group, leader, { getLines }) => {
            const follower = getFollower(group, leader);
            group.crash(follower);
            await group.advance(3_000);
            expect(getLines("the group's repair begins").map(line => line.causes)).to.deep.equal([[
                `${follower.address} does not answer`,
            ]]);
            group.members.filter(member => member !== leader && member.log).forEach(member => group.crash(member));
            await group.advance(1_000);
            expect(getLines("the group's repair is left").length).to.equal(1);
        }, 1_500));

    it("tell why no leader is elected, at most once a second", () =>
        withGroup(async (group, leader, { getLines }) => {
            const [first, second] = group.members.filter(member => member !== leader);
            group.crash(first!);
            group.crash(second!);
            await group.advance(10_000);
            expect(leader.log!.getStatus().role).not.to.equal(ConsensusRole.Leader);
            const [stepDown] = getLines("stepped down");
            expect(stepDown!.reason).to.equal("no majority answers");
            const delays = stepDown!.voters as Record<string, number>;
            expect(delays).to.have.all.keys(group.members.map(({ address }) => address));
            expect(delays[first!.address]).to.be.at.least(300);
            const failures = getLines("was not elected");
            expect(failures.length).to.be.within(2, 11);
            expect(failures[0]).to.deep.include({ isPreVote: true, granted: [], unanswered: getAddresses() });
            expect(getLines("asked to join in vain").at(-1)!.answers).to.deep.equal({
                [first!.address]: "unanswered",
                [second!.address]: "unanswered",
            });

            function getAddresses() {
                return [first!.address, second!.address];
            }
        }));

    it("tell why a vote is refused", () =>
        withGroup(async (group, leader, { getLines }) => {
            const [behind, other] = group.members.filter(member => member !== leader);
            group.network.cut(leader.address, behind!.address);
            await group.waitFor(group.propose(leader));
            group.crash(leader);
            await group.advance(5_000);
            const reasons = getLines("refused a vote").map(line => line.reason);
            expect(reasons).to.include("the candidate's log is less complete");
            expect(group.getLeader()).to.equal(other);
        }));

    it("tell why a member is not added", async () => {
        const recording = createRecordingLogger();
        const options = { logger: recording.logger, limits: { maximumMembers: 3 } };
        const group = await createTestGroup({ seed: 1, memberCount: 3, learnerCount: 1, options });
        await group.waitForLeader();
        await group.advance(5_000);
        const [refusal] = recording.getLines("refused to add a member").slice(-1);
        expect(refusal!.reason).to.equal("The group has 3 members already");
        const [question] = recording.getLines("asked to join in vain").slice(-1);
        expect(question!.cause).to.equal("is not in the group");
        expect(Object.values(question!.answers as object)).to.include("REFUSED");
        await group.stop();
    });
});
