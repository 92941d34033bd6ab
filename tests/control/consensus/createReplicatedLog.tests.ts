import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { crc32 } from "node:zlib";
import { ConsensusRole } from "../../../src/control/consensus";
import { createMetrics } from "../../../src/metrics";
import {
    AppendRequestSchema,
    EntryKind,
    HeartbeatRequestSchema,
    LogEntrySchema,
    SnapshotPartSchema,
    VoteRequestSchema,
} from "../../../src/protocol";
import { createTestGroup, GroupMember, TestGroup, TestGroupOptions } from "./createTestGroup";

const leaseMilliseconds = 400;
const longestPromiseMilliseconds = 3 * leaseMilliseconds;
const shortTiming = {
    heartbeatIntervalMilliseconds: 75,
    minimumElectionTimeoutMilliseconds: 350,
    maximumElectionTimeoutMilliseconds: 700,
};

describe("createReplicatedLog", () => {
    async function withGroup(
        options: Partial<TestGroupOptions>,
        doTest: (group: TestGroup, leader: GroupMember) => Promise<void>,
    ): Promise<void> {
        const group = await createTestGroup({ seed: 1, memberCount: 3, ...options });
        const leader = await group.waitForLeader();
        await doTest(group, leader);
        await group.stop();
    }

    function getOthers(group: TestGroup, member: GroupMember): GroupMember[] {
        return group.members.filter(other => other !== member);
    }

    function isolate(group: TestGroup, member: GroupMember): void {
        getOthers(group, member).forEach(other => {
            group.network.cut(member.address, other.address);
            group.network.cut(other.address, member.address);
        });
    }

    function getStatus(member: GroupMember) {
        return member.log!.getStatus();
    }

    function getMembers(group: TestGroup) {
        const members = group.getLeader()?.log?.getStatus().members ?? [];
        return members.map(({ memberId, isVoter }) => `${memberId}${isVoter ? "" : " (learner)"}`).sort();
    }

    async function proposeMany(group: TestGroup, member: GroupMember, count: number): Promise<void> {
        const outcomes = await group.waitFor(Promise.all([...Array(count).keys()].map(() => group.propose(member))));
        expect(new Set(outcomes)).to.deep.equal(new Set(["committed"]));
    }

    describe("leadership", () => {
        it("ends within the lease when the leader is cut off from its majority", () =>
            withGroup({}, async (group, leader) => {
                isolate(group, leader);
                await group.advance(leaseMilliseconds);
                expect(getStatus(leader).role).to.equal(ConsensusRole.Follower);
                expect(leader.log!.getLeaderLeaseMilliseconds()).to.equal(0);
                await group.waitForLeader();
                expect(group.getLeader()).not.to.equal(leader);
                await group.checkRecovery();
            }));

        it("ends when the leader can send messages but receives no responses", () =>
            withGroup({}, async (group, leader) => {
                getOthers(group, leader).forEach(other => group.network.cut(other.address, leader.address));
                await group.advanceUntil(() => (group.getLeader() ?? leader) !== leader, 5_000);
                expect(getStatus(leader).role).not.to.equal(ConsensusRole.Leader);
                await group.checkRecovery();
            }));

        it("does not change when a follower that receives no messages campaigns repeatedly", () =>
            withGroup({}, async (group, leader) => {
                const [cutOff] = getOthers(group, leader);
                const { term } = getStatus(leader);
                getOthers(group, cutOff!).forEach(other => group.network.cut(other.address, cutOff!.address));
                await group.advance(10_000);
                group.network.heal();
                await group.advance(2_000);
                expect(group.getLeader()).to.equal(leader);
                expect(getStatus(leader).term).to.equal(term);
            }));

        it("does not change when two followers can't reach each other", () =>
            withGroup({}, async (group, leader) => {
                const [first, second] = getOthers(group, leader);
                group.network.cut(first!.address, second!.address);
                group.network.cut(second!.address, first!.address);
                const { term } = getStatus(leader);
                await group.advance(5_000);
                expect(getStatus(leader)).to.include({ role: ConsensusRole.Leader, term });
            }));

        it("is not resumed by a leader that was suspended for a minute", () =>
            withGroup({}, async (group, leader) => {
                await proposeMany(group, leader, 3);
                group.network.setFrozen(leader.address, true);
                await group.advance(60_000);
                const successor = group.getLeader()!;
                expect(successor).not.to.equal(leader);
                await proposeMany(group, successor, 20);
                group.network.setFrozen(leader.address, false);
                expect(leader.log!.getLeaderLeaseMilliseconds()).to.equal(0);
                expect(await group.waitFor(group.read(leader))).to.equal(false);
                await group.checkRecovery();
            }));

        it("gets no vote from a member that restarted within the leader's lease", () =>
            withGroup({}, async (group, leader) => {
                const [voter] = getOthers(group, leader);
                group.crash(voter!);
                await group.start(voter!);
                const { term, lastIndex } = getStatus(leader);
                const request = create(VoteRequestSchema, {
                    group: "test",
                    term: term + 1n,
                    candidateId: "x",
                    lastIndex,
                    lastTerm: term,
                });
                expect((await group.waitFor(voter!.log!.handleVote(request)))?.granted).to.equal(false);
                const preVote = voter!.log!.handleVote({ ...request, preVote: true });
                expect((await group.waitFor(preVote))?.granted).to.equal(false);
            }));

        it("relies on no longer promise than a member gives", () =>
            withGroup({}, async (group, leader) => {
                const [voter] = getOthers(group, leader);
                const { term } = getStatus(leader);
                const recipientId = getStatus(voter!).memberId;
                const heartbeat = { group: "test", term, leaderAddress: leader.address, recipientId };
                async function getPromise(promiseMilliseconds: number): Promise<number | undefined> {
                    const request = create(HeartbeatRequestSchema, { ...heartbeat, promiseMilliseconds });
                    return (await voter!.log!.handleHeartbeat(request))?.promiseMilliseconds;
                }
                expect(await getPromise(0)).to.equal(leaseMilliseconds);
                expect(await getPromise(700)).to.equal(700);
                expect(await getPromise(9_000)).to.equal(longestPromiseMilliseconds);
            }));

        it("is soon taken over beside a member that doesn't respond, also after split votes", async () => {
            for (const seed of Array.from({ length: 40 }, (...[, index]) => index)) {
                await withGroup({ seed, options: { timing: shortTiming } }, async (group, leader) => {
                    group.network.timeoutMilliseconds = 1_000;
                    group.network.maximumDelayMilliseconds = 30;
                    group.members.forEach(member => {
                        member.syncMilliseconds = { minimum: 0, maximum: 20 };
                    });
                    await group.advance(1_000);
                    group.endProcess(leader);
                    await group.advanceUntil(() => (group.getLeader() ?? leader) !== leader, 4_000);
                });
            }
        });

        it("gets no vote for as long as a member has promised before its restart", () =>
            withGroup({}, async (group, leader) => {
                const [voter] = getOthers(group, leader);
                isolate(group, voter!);
                const { term, lastIndex } = getStatus(leader);
                const recipientId = getStatus(voter!).memberId;
                const { address: leaderAddress } = leader;
                const promiseMilliseconds = longestPromiseMilliseconds;
                const heartbeat = { group: "test", term, leaderAddress, recipientId, promiseMilliseconds };
                const request = { group: "test", term: term + 1n, candidateId: "x", lastIndex, lastTerm: term };
                await voter!.log!.handleHeartbeat(create(HeartbeatRequestSchema, heartbeat));
                for (const restarts of [0, 1]) {
                    await group.advance(leaseMilliseconds + 50);
                    const vote = voter!.log!.handleVote(create(VoteRequestSchema, request));
                    expect((await group.waitFor(vote))?.granted, `${restarts} restarts`).to.equal(false);
                    group.crash(voter!);
                    await group.start(voter!);
                }
            }));

        it("has no pause of an election timeout after a restart of all members", () =>
            withGroup({ memberCount: 5 }, async group => {
                for (const crashes of [1, 2, 3]) {
                    group.members.forEach(group.crash);
                    await Promise.all(group.members.map(member => group.start(member)));
                    await group.advance(leaseMilliseconds / 2);
                    expect(group.getLeader(), `after ${crashes} restarts`).not.to.equal(undefined);
                }
                await group.checkRecovery();
            }));

        it("has no pause of an election timeout after restarts of all members in any order", async () => {
            for (const seed of Array.from({ length: 12 }, (...[, index]) => index)) {
                await withGroup({ memberCount: 5, seed }, async group => {
                    group.members.forEach(group.crash);
                    // The last messages of the former processes are lost with their connections.
                    await group.advance(10);
                    await Promise.all(group.members.map(member => group.start(member)));
                    await group.advance(leaseMilliseconds / 2);
                    expect(group.getLeader(), `seed ${seed}`).not.to.equal(undefined);
                });
            }
        });

        it("has no pause of an election timeout after a restart of all members, one of them with an empty disk", () =>
            withGroup({ seed: 2 }, async (group, leader) => {
                group.members.forEach(group.crash);
                await group.replaceDisk(getOthers(group, leader)[0]!);
                await Promise.all(
                    group.members.filter(member => !member.log).map(member => group.start(member)),
                );
                await group.advance(leaseMilliseconds / 2);
                expect(group.getLeader()).not.to.equal(undefined);
                await group.checkRecovery();
            }));

        it("is not taken over early while the former leader is suspended", () =>
            withGroup({}, async (group, leader) => {
                group.network.setFrozen(leader.address, true);
                getOthers(group, leader).forEach(group.crash);
                await Promise.all(getOthers(group, leader).map(member => group.start(member)));
                await group.advance(leaseMilliseconds * 0.9);
                expect(getOthers(group, leader).map(member => getStatus(member).role))
                    .to.deep.equal([ConsensusRole.Follower, ConsensusRole.Follower]);
                await group.checkRecovery();
            }));

        it("is not taken over early while the former leader can't be reached", () =>
            withGroup({}, async (group, leader) => {
                isolate(group, leader);
                getOthers(group, leader).forEach(group.crash);
                await Promise.all(getOthers(group, leader).map(member => group.start(member)));
                await group.advance(leaseMilliseconds * 0.9);
                expect(getOthers(group, leader).map(member => getStatus(member).role))
                    .to.deep.equal([ConsensusRole.Follower, ConsensusRole.Follower]);
                await group.checkRecovery();
            }));
    });

    describe("votes", () => {
        async function doTest(
            change: { term?: bigint; lastIndex?: bigint; lastTerm?: bigint; group?: string; },
            expected: boolean,
        ): Promise<void> {
            await withGroup({}, async (group, leader) => {
                await proposeMany(group, leader, 3);
                const [voter] = getOthers(group, leader);
                isolate(group, voter!);
                await group.advance(leaseMilliseconds + 5);
                const { term, lastIndex } = getStatus(voter!);
                const request = create(VoteRequestSchema, {
                    group: "test",
                    term: term + 1n,
                    candidateId: "x",
                    lastIndex,
                    lastTerm: term,
                    ...change,
                });
                const preVote = await voter!.log!.handleVote({ ...request, preVote: true });
                expect(preVote!.granted).to.equal(expected);
                expect(getStatus(voter!).term).to.equal(term);
                const vote = await group.waitFor(voter!.log!.handleVote(request));
                expect(vote!.granted).to.equal(expected);
                const second = await group.waitFor(voter!.log!.handleVote({ ...request, candidateId: "y" }));
                expect(second!.granted).to.equal(false);
            });
        }

        it("survive a crash", () =>
            withGroup({}, async (group, leader) => {
                const [voter] = getOthers(group, leader);
                isolate(group, voter!);
                await group.advance(leaseMilliseconds + 5);
                const { term, lastIndex } = getStatus(voter!);
                const request = create(VoteRequestSchema, {
                    group: "test",
                    term: term + 1n,
                    candidateId: "x",
                    lastIndex,
                    lastTerm: term,
                });
                expect((await group.waitFor(voter!.log!.handleVote(request)))!.granted).to.equal(true);
                group.crash(voter!);
                await group.start(voter!);
                await group.advance(longestPromiseMilliseconds + 5);
                const second = await group.waitFor(voter!.log!.handleVote({ ...request, candidateId: "y" }));
                expect(second!.granted).to.equal(false);
                const repeated = await group.waitFor(voter!.log!.handleVote(request));
                expect(repeated!.granted).to.equal(getStatus(voter!).term === request.term);
            }));

        it("do not count from a member whose disk was emptied", () =>
            withGroup({}, async (group, leader) => {
                const [emptied, lost] = getOthers(group, leader);
                await proposeMany(group, leader, 3);
                const { term } = getStatus(leader);
                group.crash(lost!);
                await group.replaceDisk(emptied!);
                await group.advance(5_000);
                expect(group.getLeader()).to.equal(undefined);
                expect(getStatus(leader).term).to.equal(term);
            }));

        it("are granted to a candidate with the complete log", () => doTest({}, true));
        it("are granted to a candidate with a higher last term", () => doTest({ lastTerm: 99n, lastIndex: 1n }, true));
        it("are refused to a candidate with a shorter log", () => doTest({ lastIndex: 1n }, false));
        it("are refused to a candidate with a lower last term", () => doTest({ lastTerm: 0n, lastIndex: 99n }, false));
        it("are refused to a candidate in an earlier term", () => doTest({ term: 0n }, false));
        it("are refused to a candidate of another group", () => doTest({ group: "other" }, false));
    });

    describe("proposals", () => {
        it("are reported as not committed when another leader's entries replaced them", () =>
            withGroup({}, async (group, leader) => {
                isolate(group, leader);
                const lost = group.propose(leader);
                await group.advance(1_000);
                await proposeMany(group, await group.waitForLeader(), 2);
                group.network.heal();
                expect(await group.waitFor(lost)).to.equal("notLeader");
                await group.checkRecovery();
            }));

        it("are reported as unknown when they have no outcome before the timeout", () =>
            withGroup({}, async (group, leader) => {
                isolate(group, leader);
                expect(await group.waitFor(group.propose(leader), 4_000)).to.equal("unknown");
            }));

        it("are refused when they are too large or too many are queued", () =>
            withGroup(
                { options: { limits: { maximumCommandBytes: 5, maximumQueuedCommands: 3 } } },
                async (group, leader) => {
                    const large = await leader.log!.propose(Buffer.alloc(6));
                    expect(large).to.include({ kind: "refused" });
                    const proposals = [...Array(20).keys()].map(() => leader.log!.propose(Buffer.alloc(5)));
                    const kinds = (await group.waitFor(Promise.all(proposals))).map(outcome => outcome.kind);
                    expect(kinds.filter(kind => kind === "refused").length).to.be.greaterThan(0);
                    expect(kinds.filter(kind => kind === "committed").length).to.be.greaterThan(0);
                },
            ));

        it("share disk writes", () =>
            withGroup({ options: { limits: { maximumMessageBytes: 1_000_000 } } }, async (group, leader) => {
                const sizeBefore = getStatus(leader).lastIndex;
                const start = group.clock.getMilliseconds();
                await proposeMany(group, leader, 500);
                expect(getStatus(leader).lastIndex).to.equal(sizeBefore + 500n);
                expect(group.clock.getMilliseconds() - start).to.be.lessThan(200);
            }));
    });

    describe("commits", () => {
        it("cover entries of earlier terms only with an entry of the leader's own term", () =>
            withGroup({ options: { limits: { maximumMessageBytes: 1 } } }, async (group, leader) => {
                const [follower, absent] = getOthers(group, leader);
                const committedIndex = getStatus(leader).commitIndex;
                isolate(group, leader);
                [1, 2, 3, 4].forEach(() => void group.propose(leader));
                await group.advance(50);
                group.members.forEach(group.crash);
                group.network.heal();
                await group.start(leader);
                await group.start(follower!);
                const seen = new Set<bigint>();
                await group.advanceUntil(() => {
                    seen.add(getStatus(leader).commitIndex);
                    return getStatus(leader).commitIndex > committedIndex + 4n;
                }, 10_000);
                const early = [...seen].filter(index => index > committedIndex && index <= committedIndex + 4n);
                expect(early).to.deep.equal([]);
                await group.start(absent!);
                await group.checkRecovery();
            }));

        it("wait for the leader's own disk where the majority needs it", () =>
            withGroup({}, async (group, leader) => {
                const [absent] = getOthers(group, leader);
                const { commitIndex } = getStatus(leader);
                group.network.cut(leader.address, absent!.address);
                leader.syncMilliseconds = { minimum: 1_000, maximum: 1_000 };
                const proposed = group.propose(leader);
                await group.advance(500);
                expect(getStatus(leader).commitIndex).to.equal(commitIndex);
                expect(await group.waitFor(proposed)).to.equal("committed");
            }));

        it("do not count a follower that votes in a later term while it stores the entries", () =>
            withGroup({}, async (group, leader) => {
                const [follower] = getOthers(group, leader);
                isolate(group, follower!);
                await group.advance(leaseMilliseconds + 5);
                const { term, lastIndex } = getStatus(follower!);
                follower!.syncMilliseconds = { minimum: 1_000, maximum: 1_000 };
                const entry = create(LogEntrySchema, { term, index: lastIndex + 1n, kind: EntryKind.COMMAND });
                const appended = follower!.log!.handleAppend(create(AppendRequestSchema, {
                    group: "test",
                    term,
                    previousIndex: lastIndex,
                    previousTerm: term,
                    entries: [entry],
                    recipientId: follower!.storage!.memberId,
                }));
                await group.advance(leaseMilliseconds + 5);
                const voted = follower!.log!.handleVote(create(VoteRequestSchema, {
                    group: "test",
                    term: term + 5n,
                    candidateId: "x",
                    lastIndex: lastIndex + 1n,
                    lastTerm: term,
                }));
                expect((await group.waitFor(appended))!.accepted).to.equal(false);
                expect((await group.waitFor(voted))!.granted).to.equal(true);
            }));
    });

    describe("a failing disk", () => {
        it("stops its member with the reason, while the other members continue", () =>
            withGroup({}, async (group, leader) => {
                await proposeMany(group, leader, 1);
                leader.disk.failAfter(0, "ENOSPC");
                const lost = group.propose(leader);
                await group.advance(50);
                expect(getStatus(leader).role).to.equal(ConsensusRole.Stopped);
                const refused = await leader.log!.propose(Buffer.from("x"));
                expect(refused.kind === "refused" ? refused.reason : "").to.match(/disk is full/);
                expect(await lost).to.equal("unknown");
                await proposeMany(group, await group.waitForLeader(), 3);
                await group.checkRecovery();
            }));

        it("that stalls at the leader leaves the leadership to a member whose disk doesn't", () =>
            withGroup({}, async (group, leader) => {
                leader.syncMilliseconds = { minimum: 20_000, maximum: 20_000 };
                const first = group.propose(leader);
                const second = group.advance(100).then(() => group.propose(leader));
                await group.advanceUntil(() => group.getLeader() !== leader, 3_000);
                expect(await first).to.equal("committed");
                expect(await second).to.equal("notLeader");
                await group.advanceUntil(() => group.getLeader() !== undefined, 3_000);
                expect(await group.waitFor(group.propose(group.getLeader()!), 1_000)).to.equal("committed");
                await group.checkRecovery();
            }));

        it("that stalls at the leader doesn't end its leadership while a majority needs that disk", () =>
            withGroup({}, async (group, leader) => {
                group.crash(getOthers(group, leader)[0]!);
                leader.syncMilliseconds = { minimum: 2_500, maximum: 2_500 };
                const proposed = group.propose(leader);
                await group.advance(2_000);
                expect(group.getLeader()).to.equal(leader);
                expect(await group.waitFor(proposed, 1_000)).to.equal("committed");
                await group.checkRecovery();
            }));
    });

    describe("disks whose syncs take as long as an election timeout", () => {
        function doTest(syncMilliseconds: number): Promise<void> {
            return withGroup({ options: { timing: shortTiming } }, async (group, leader) => {
                group.network.timeoutMilliseconds = 1_000;
                await group.waitFor(group.propose(leader));
                group.members.forEach(member => {
                    member.syncMilliseconds = { minimum: syncMilliseconds * 0.8, maximum: syncMilliseconds * 1.2 };
                });
                group.members.forEach(group.crash);
                const starts = Promise.all(group.members.map(member => group.start(member)));
                await group.advanceUntil(() => group.getLeader() !== undefined, 8_000);
                await group.advance(3 * syncMilliseconds);
                const { term } = group.getLeader()!.log!.getStatus();
                for (let change = 0; change < 5; change += 1) {
                    expect(await group.waitFor(group.propose(group.getLeader()!), 3_000)).to.equal("committed");
                }
                expect(group.getLeader()!.log!.getStatus().term, "the leader is still the same").to.equal(term);
                await starts;
                await group.checkRecovery();
            });
        }

        [50, 175, 250, 350].forEach(syncMilliseconds =>
            it(`leave a group with a leader that commits: ${syncMilliseconds} ms`, () => doTest(syncMilliseconds))
        );

        it("don't let a member promise its vote before it has stored its first term", () =>
            withGroup({}, async (group, leader) => {
                const member = group.addMember();
                member.syncMilliseconds = { minimum: 0, maximum: 0 };
                await group.start(member);
                member.syncMilliseconds = { minimum: 500, maximum: 500 };
                const request = create(HeartbeatRequestSchema, {
                    group: "test",
                    term: 1n,
                    leaderAddress: leader.address,
                    recipientId: member.storage!.memberId,
                });
                let isAnswered = false;
                void member.log!.handleHeartbeat(request).then(() => {
                    isAnswered = true;
                });
                await group.advance(300);
                expect(isAnswered).to.equal(false);
            }));
    });

    describe("members", () => {
        it("that are learners do not count towards a majority", () =>
            withGroup(
                { memberCount: 2, learnerCount: 1, options: { limits: { voterCount: 2 } } },
                async (group, leader) => {
                    await group.advanceUntil(() => getMembers(group).length === 3, 10_000);
                    group.crash(group.members.find(member => member.isInitialMember && member !== leader)!);
                    await group.advance(2_000);
                    expect(group.getLeader()).to.equal(undefined);
                    await group.checkRecovery();
                },
            ));

        it("become voters only once they hold all committed entries", () =>
            withGroup({ options: { limits: { voterCount: 3 } } }, async (group, leader) => {
                const learner = group.addMember();
                const change = { kind: "addLearner", memberId: "spare", address: learner.address } as const;
                expect((await group.waitFor(leader.log!.changeMembers(change))).kind).to.equal("committed");
                const promoted = await group.waitFor(
                    leader.log!.changeMembers({ kind: "promote", memberId: "spare" }),
                );
                expect(promoted.kind === "refused" ? promoted.reason : "").to.match(/does not hold all/);
            }));

        it("are not changed before the leader has committed an entry of its own term", () =>
            withGroup({}, async (group, leader) => {
                const kinds: string[] = [];
                for (const other of getOthers(group, leader)) {
                    other.log!.addStatusListener(status => {
                        if (status.role === ConsensusRole.Leader && kinds.length === 0) {
                            kinds.push("asked");
                            const change = { kind: "addLearner", memberId: "x", address: "x" } as const;
                            void other.log!.changeMembers(change).then(outcome => kinds.push(outcome.kind));
                        }
                    });
                }
                group.crash(leader);
                await group.advanceUntil(() => kinds.length === 2, 10_000);
                expect(kinds).to.deep.equal(["asked", "refused"]);
            }));

        it("receive a snapshot in parts after they join", () =>
            withGroup({}, async (group, leader) => {
                await proposeMany(group, leader, 40);
                const learner = group.addMember();
                await group.start(learner);
                await group.advanceUntil(() => learner.machine.getCommands().length === 40, 10_000);
                expect(getStatus(learner).role).to.equal(ConsensusRole.Learner);
                expect(learner.storage!.getSnapshot()!.index > 8n).to.equal(true);
                await group.checkRecovery();
            }));

        it("that are unresponsive are replaced by a learner, and the group survives another loss right after", () =>
            withGroup(
                { learnerCount: 1, options: { timing: { voterReplacementTimeoutMilliseconds: 3_000 } } },
                async (group, leader) => {
                    await group.advanceUntil(() => getMembers(group).length === 4, 10_000);
                    const [lost, second] = group.members.filter(member => member.isInitialMember && member !== leader);
                    const lostId = lost!.storage!.memberId;
                    group.crash(lost!);
                    await group.advanceUntil(() => !getMembers(group).includes(lostId), 10_000);
                    expect(getMembers(group).filter(name => !name.includes("learner")).length).to.equal(3);
                    group.crash(second!);
                    await proposeMany(group, await group.waitForLeader(), 3);
                    await group.checkRecovery();
                    await group.advanceUntil(() => getMembers(group).includes(`${lostId} (learner)`), 10_000);
                },
            ));

        it("whose disk was emptied rejoin with a new identity, and the old one is removed", () =>
            withGroup({}, async (group, leader) => {
                const [emptied, other] = getOthers(group, leader);
                const oldId = emptied!.storage!.memberId;
                await proposeMany(group, leader, 5);
                await group.replaceDisk(emptied!);
                const newId = emptied!.storage!.memberId;
                expect(newId).not.to.equal(oldId);
                await group.advanceUntil(() => getMembers(group).includes(newId), 10_000);
                await group.advanceUntil(() => !getMembers(group).includes(oldId), 10_000);
                expect(getMembers(group)).to.deep.equal(
                    [leader, other!, emptied!].map(member => member.storage!.memberId).sort(),
                );
                await group.checkRecovery();
            }));

        it("can be removed, including the leader, except for the last voter", () =>
            withGroup({}, async (group, leader) => {
                const leaderId = leader.storage!.memberId;
                const removed = await group.waitFor(leader.log!.changeMembers({ kind: "remove", memberId: leaderId }));
                expect(removed.kind).to.equal("committed");
                group.crash(leader);
                const successor = await group.waitForLeader();
                const otherId = getMembers(group).find(id => id !== successor.storage!.memberId)!;
                const ownId = successor.storage!.memberId;
                await group.waitFor(successor.log!.changeMembers({ kind: "remove", memberId: otherId }));
                expect(getMembers(group)).to.deep.equal([ownId]);
                const last = await group.waitFor(successor.log!.changeMembers({ kind: "remove", memberId: ownId }));
                expect(last).to.include({ kind: "refused" });
                await proposeMany(group, successor, 3);
            }));
    });

    describe("messages", () => {
        it("for another identity have no effect", () =>
            withGroup({}, async (group, leader) => {
                const [follower] = getOthers(group, leader);
                const { term, lastIndex } = getStatus(follower!);
                const response = await follower!.log!.handleAppend(
                    create(AppendRequestSchema, { group: "test", term: term + 5n, recipientId: "other" }),
                );
                expect(response!.accepted).to.equal(false);
                expect(getStatus(follower!)).to.include({ term, lastIndex });
            }));
    });

    // The server of the members' messages swallowed such failures, with a change of the log that was made in part.
    describe("a message that can't be handled", () => {
        const undecodable = Buffer.from([0xff]);

        it("is counted, and its sender gets no response", async () => {
            const metrics = createMetrics();
            await withGroup({ options: { metrics } }, async (group, leader) => {
                const [follower] = getOthers(group, leader);
                const { term } = getStatus(leader);
                await group.advance(leaseMilliseconds + 100);
                const { storage } = follower!;
                const { getTerm } = storage!;
                storage!.getTerm = () => {
                    throw new Error("broken");
                };
                const request = { group: "test", term, recipientId: storage!.memberId, previousIndex: 1n };
                const response = await follower!.log!.handleAppend(create(AppendRequestSchema, request));
                storage!.getTerm = getTerm;
                expect(response).to.equal(undefined);
                expect(await metrics.getText()).to.match(/task_failures_total\{task="memberMessage"\} \d/);
            });
        });

        it("changes nothing where a set of members can't be decoded", async () => {
            await withGroup({ options: { metrics: createMetrics() } }, async (group, leader) => {
                const [follower] = getOthers(group, leader);
                await group.advance(leaseMilliseconds + 100);
                isolate(group, leader);
                const { term, lastIndex } = getStatus(follower!);
                const entry = create(LogEntrySchema, {
                    index: lastIndex + 1n,
                    term,
                    kind: EntryKind.MEMBERS,
                    data: undecodable,
                });
                const response = follower!.log!.handleAppend(create(AppendRequestSchema, {
                    group: "test",
                    term,
                    previousIndex: lastIndex,
                    previousTerm: term,
                    entries: [entry],
                    recipientId: follower!.storage!.memberId,
                })).catch(() => undefined);
                await group.advance(10);
                expect(await response).to.equal(undefined);
                expect(follower!.storage!.getLastIndex()).to.equal(lastIndex);
            });
        });
    });

    describe("parts of a snapshot", () => {
        async function doTest(change: { checksum?: number; offset?: bigint; }, expected: object): Promise<void> {
            await withGroup({}, async (group, leader) => {
                const [follower] = getOthers(group, leader);
                const { term, commitIndex } = getStatus(leader);
                const data = Buffer.from("part");
                const part = create(SnapshotPartSchema, {
                    group: "test",
                    term,
                    leaderAddress: leader.address,
                    snapshotIndex: commitIndex + 100n,
                    snapshotTerm: term,
                    recipientId: follower!.storage!.memberId,
                    data,
                    checksum: crc32(data),
                    ...change,
                });
                expect(await group.waitFor(follower!.log!.handleSnapshotPart(part))).to.include(expected);
            });
        }

        it("are accepted in order", () => doTest({}, { accepted: true, nextOffset: 4n }));
        it("are refused with a wrong checksum", () => doTest({ checksum: 1 }, { accepted: false, nextOffset: 0n }));
        it("are refused out of order", () => doTest({ offset: 8n }, { accepted: false, nextOffset: 0n }));
    });

    describe("reads", () => {
        it("at a follower share requests to the leader", () =>
            withGroup({}, async (group, leader) => {
                await proposeMany(group, leader, 3);
                const [follower] = getOthers(group, leader);
                const before = group.network.getMessageCount();
                const reads = [...Array(200).keys()].map(() => group.read(follower!));
                const results = await group.waitFor(Promise.all(reads));
                expect(results.every(isPassed => isPassed)).to.equal(true);
                expect(group.network.getMessageCount() - before).to.be.lessThan(20);
            }));

        it("at a new leader include what the previous leader committed", () =>
            withGroup({}, async (group, leader) => {
                const { appliedIndex } = getStatus(leader);
                const others = getOthers(group, leader);
                const reads: Promise<boolean>[] = [];
                for (const other of others) {
                    other.log!.addStatusListener(status => {
                        if (status.role === ConsensusRole.Leader && reads.length === 0) {
                            reads.push(Promise.resolve().then(() => group.read(other)));
                        }
                    });
                }
                void group.propose(leader);
                await group.advanceUntil(() => getStatus(leader).appliedIndex > appliedIndex, 1_000);
                others.forEach(other => group.network.cut(leader.address, other.address));
                group.crash(leader);
                await group.advanceUntil(() => reads.length === 1, 10_000);
                expect(await group.waitFor(reads[0]!)).to.equal(true);
            }));

        it("fail without a known leader", () =>
            withGroup({}, async (group, leader) => {
                const [follower] = getOthers(group, leader);
                group.crash(leader);
                isolate(group, follower!);
                await group.advance(5_000);
                expect(await group.waitFor(group.read(follower!))).to.equal(false);
            }));
    });

    describe("a new group", () => {
        it("is started by one of its members once all have responded, and never a second time", async () => {
            const group = await createTestGroup({ seed: 3, memberCount: 0 });
            const members = [group.addMember(), group.addMember(), group.addMember()];
            const addresses = members.map(({ address }) => address);
            const join = { addresses, startsGroup: true };
            await group.start(members[0]!, { join });
            await group.start(members[1]!, { join });
            await group.advance(5_000);
            expect(group.getLeader()).to.equal(undefined);
            await group.start(members[2]!, { join });
            const leader = await group.waitForLeader();
            await proposeMany(group, leader, 3);
            const founderIds = getMembers(group);
            const first = members[0]!;
            const firstId = first.storage!.memberId;
            group.crash(first);
            first.disk.clear();
            await group.start(first, { join });
            const expected = [...founderIds.filter(id => id !== firstId), first.storage!.memberId].sort();
            await group.advanceUntil(() => getMembers(group).join() === expected.join(), 20_000);
            await group.checkRecovery();
            await group.stop();
        });

        it("has the configured number of voters, and the other members as learners", async () => {
            const group = await createTestGroup({ seed: 4, memberCount: 0 });
            const members = [0, 1, 2, 3].map(() => group.addMember());
            const join = { addresses: members.map(({ address }) => address), startsGroup: true };
            for (const member of members) {
                await group.start(member, { join });
            }
            await group.waitForLeader();
            expect(getMembers(group).filter(name => name.includes("learner")).length).to.equal(1);
            await group.stop();
        });
    });
});
