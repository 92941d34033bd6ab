import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import {
    ConsensusHandlers,
    ConsensusRole,
    createReplicatedLog,
    ReplicatedLog,
    ReplicatedLogOptions,
} from "../../../src/control/consensus";
import { LogStorage, openLogStorage } from "../../../src/control/storage";
import { createSilentLogger } from "../../../src/logging";
import { Metrics } from "../../../src/metrics";
import { MemberRole, MemberSchema, MemberSet, MemberSetSchema } from "../../../src/protocol";
import { Clock, createRandomSource } from "../../../src/runtime";
import { createDiskFake, DiskFake } from "../storage/createDiskFake";
import { createProcessTableFake, ProcessTableFake } from "../storage/createProcessTableFake";
import { createListMachine, ListMachine } from "./createListMachine";
import { createNetworkFake, NetworkFake } from "./createNetworkFake";
import { createVirtualClock, VirtualClock } from "./createVirtualClock";

/** One member on a simulated disk; `log` is undefined while its process does not run. */
export interface GroupMember {
    address: string;
    /** Whether the member belongs to the initial group and still has its first disk. */
    isInitialMember: boolean;
    disk: DiskFake;
    /** The range of the duration of a disk sync, in milliseconds. */
    syncMilliseconds: { minimum: number; maximum: number; };
    lockOwners: ProcessTableFake;
    clock: Clock;
    machine: ListMachine;
    storage: LogStorage | undefined;
    log: (ReplicatedLog & ConsensusHandlers) | undefined;
}

/**
 * A group of members on a simulated network, clock and disks. It checks the invariants of Raft after each step of time.
 */
export interface TestGroup {
    readonly clock: VirtualClock;
    readonly network: NetworkFake;
    readonly members: readonly GroupMember[];
    /** The commands whose outcome was `committed`. */
    readonly committed: Set<string>;
    /** The commands whose outcome was `notLeader` or `refused`. */
    readonly rejected: Set<string>;
    /** Advances the time, and checks the invariants after each step. */
    advance(milliseconds: number): Promise<void>;
    /** Advances the time until a condition holds, and fails where it does not hold in time. */
    advanceUntil(condition: () => boolean, milliseconds: number): Promise<void>;
    /** Advances the time until a promise is settled, and returns its result. */
    waitFor<T>(result: Promise<T>, milliseconds?: number): Promise<T>;
    /** Starts a member's process, with options that differ from the group's; has no effect where its disk fails. */
    start(member: GroupMember, options?: Partial<ReplicatedLogOptions>): Promise<void>;
    /** Starts a member's log on storage that the test has opened on the member's disk. */
    startOnStorage(member: GroupMember, storage: LogStorage): void;
    /** Ends a member's process at once, and discards data that was not synced. */
    crash(member: GroupMember): void;
    /** Ends a member's process at once; its files remain as they are. */
    endProcess(member: GroupMember): void;
    /** Ends a member's process, empties its disk, and starts it again, so that it asks to join. */
    replaceDisk(member: GroupMember): Promise<void>;
    /** Adds a member with an empty disk, without starting it. */
    addMember(): GroupMember;
    /** Proposes a unique command, and returns the kind of its outcome. */
    propose(member: GroupMember): Promise<string>;
    /**
     * Reads at a member, and checks that the read includes every entry applied at any member before. Returns whether it
     * passed.
     */
    read(member: GroupMember): Promise<boolean>;
    /** Gets the leader with the highest term. */
    getLeader(): GroupMember | undefined;
    /** Waits for a leader that has committed its whole log. */
    waitForLeader(): Promise<GroupMember>;
    /** Ends all faults, and checks that the group commits again and all members have the same commands. */
    checkRecovery(): Promise<void>;
    /** Waits until the group has at least a number of voters, none of which has lost its disk. */
    waitForVoters(voterCount: number): Promise<void>;
    /** Ends all processes. */
    stop(): Promise<void>;
}

export interface TestGroupOptions {
    seed: number;
    memberCount: number;
    /** The number of further members, which ask to join as learners. */
    learnerCount?: number;
    /** The clock rate of each member; 1 where absent. */
    rates?: readonly number[];
    options?: Partial<ReplicatedLogOptions>;
}

const logger = createSilentLogger();
const recoveryMilliseconds = 20_000;
const usualSyncMilliseconds = 4;

/** Creates a group and starts its members, all of them voters. */
export async function createTestGroup(groupOptions: TestGroupOptions): Promise<TestGroup> {
    const { seed, memberCount, rates = [] } = groupOptions;
    const random = createRandomSource(seed);
    const clock = createVirtualClock();
    const network = createNetworkFake(clock, random);
    const members: GroupMember[] = [];
    const committed = new Set<string>();
    const rejected = new Set<string>();
    const leaders = new Map<bigint, string>();
    const entries = new Map<bigint, string>();
    let proposalCount = 0;
    let identityCount = 0;
    let highestApplied = 0n;
    let initialMembers: MemberSet | undefined;
    for (let number = 0; number < memberCount; number += 1) {
        addMember();
    }
    const group: TestGroup = {
        clock,
        network,
        members,
        committed,
        rejected,
        advance: milliseconds => clock.advance(milliseconds, checkInvariants),
        advanceUntil,
        waitFor,
        start,
        startOnStorage,
        crash,
        endProcess,
        replaceDisk,
        addMember,
        propose,
        read,
        getLeader,
        waitForLeader,
        checkRecovery,
        waitForVoters,
        stop,
    };
    await startAll();
    for (let number = 0; number < (groupOptions.learnerCount ?? 0); number += 1) {
        await start(addMember());
    }
    return group;

    async function startAll(): Promise<void> {
        for (const member of members) {
            await openStorage(member);
        }
        initialMembers = create(MemberSetSchema, {
            members: members.map(({ address, storage }) =>
                create(MemberSchema, { address, memberId: storage!.memberId, role: MemberRole.VOTER })
            ),
        });
        members.forEach(member => startLog(member, {}));
    }

    function addMember(): GroupMember {
        const number = members.length;
        const memberClock = clock.createMemberClock(rates[number] ?? 1, number * 1_000);
        const member: GroupMember = {
            address: `m${number}`,
            isInitialMember: number < memberCount,
            disk: createDiskFake({ random, waitForSync }),
            syncMilliseconds: { minimum: 0, maximum: usualSyncMilliseconds },
            lockOwners: createProcessTableFake(),
            clock: { ...memberClock, sleep },
            machine: createListMachine(),
            storage: undefined,
            log: undefined,
        };
        members.push(member);
        return member;

        async function waitForSync(): Promise<void> {
            const { minimum, maximum } = member.syncMilliseconds;
            await clock.sleep(minimum + random.getFraction() * (maximum - minimum));
        }

        /** Waits until the sleep is over and the process is not suspended. */
        async function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
            await memberClock.sleep(milliseconds, signal);
            await network.waitUntilUnfrozen(member.address);
        }
    }

    async function openStorage(member: GroupMember): Promise<void> {
        const opened = await waitFor(openLogStorage({
            folder: "/log",
            logger,
            metrics: createMetricsFake(),
            fileSystem: member.disk.fileSystem,
            processTable: member.lockOwners,
            createMemberId: () => `${member.address}.${++identityCount}`,
            segmentBytes: 500,
        }));
        if (opened.kind === "failed") {
            crash(member);
            return;
        }
        if (opened.kind !== "opened") {
            throw new Error(opened.reason);
        }
        member.storage = opened.storage;
    }

    async function start(member: GroupMember, options: Partial<ReplicatedLogOptions> = {}): Promise<void> {
        await openStorage(member);
        if (member.storage) {
            startLog(member, options);
        }
    }

    function startOnStorage(member: GroupMember, storage: LogStorage): void {
        member.storage = storage;
        startLog(member, {});
    }

    function startLog(member: GroupMember, options: Partial<ReplicatedLogOptions>): void {
        const machine = createListMachine();
        const checkedMachine: ListMachine = {
            ...machine,
            apply(command, context) {
                const text = `${context.term}:${Buffer.from(command).toString("utf8")}`;
                const previous = machine.getAppliedIndexes().at(-1) ?? 0n;
                expect(context.index > previous, "entries are applied in order").to.equal(true);
                expect(entries.get(context.index) ?? text, "members apply the same entries").to.equal(text);
                entries.set(context.index, text);
                highestApplied = context.index > highestApplied ? context.index : highestApplied;
                return machine.apply(command, context);
            },
        };
        const log = createReplicatedLog({
            group: "test",
            address: member.address,
            storage: member.storage!,
            peers: network.createPeers(member.address),
            stateMachine: checkedMachine,
            clock: member.clock,
            random,
            logger,
            metrics: createMetricsFake(),
            initialMembers: member.isInitialMember ? initialMembers : undefined,
            join: { addresses: members.map(({ address }) => address), startsGroup: false },
            ...groupOptions.options,
            ...options,
            timing: {
                heartbeatIntervalMilliseconds: 100,
                minimumElectionTimeoutMilliseconds: 400,
                maximumElectionTimeoutMilliseconds: 800,
                proposalTimeoutMilliseconds: 3_000,
                voterReplacementTimeoutMilliseconds: 1e9,
                maintenanceIntervalMilliseconds: 500,
                ...groupOptions.options?.timing,
            },
            limits: {
                snapshotThresholdEntries: 8,
                retainedEntries: 2,
                snapshotPartBytes: 60,
                maximumMessageBytes: 100,
                ...groupOptions.options?.limits,
            },
        });
        member.machine = checkedMachine;
        member.log = log;
        network.setMember(member.address, log);
        let voterIds: readonly string[] | undefined;
        log.addStatusListener(status => {
            if (status.role !== ConsensusRole.Leader) {
                voterIds = undefined;
            }
            else {
                const ids = status.members.filter(({ isVoter }) => isVoter).map(({ memberId }) => memberId);
                ids.filter(id => voterIds?.includes(id) === false).forEach(id => checkNewVoter(id, status.commitIndex));
                voterIds = ids;
                const leader = leaders.get(status.term) ?? status.memberId;
                expect(leader, `one leader in term ${status.term}`).to.equal(status.memberId);
                leaders.set(status.term, status.memberId);
            }
        });
    }

    /** Checks that a member becomes a voter only once its disk holds all committed entries. */
    function checkNewVoter(memberId: string, commitIndex: bigint): void {
        const voter = members.find(member => member.storage?.memberId === memberId);
        if (voter) {
            const isCaughtUp = voter.storage!.getLastIndex() >= commitIndex;
            expect(isCaughtUp, `${memberId} is a voter before it holds entry ${commitIndex}`).to.equal(true);
        }
    }

    /** Checks the invariants that must hold at all times. */
    function checkInvariants(): void {
        const holders = members.filter(member => (member.log?.getLeaderLeaseMilliseconds() ?? 0) > 0);
        expect(holders.length, "at most one member holds the lease").to.be.at.most(1);
    }

    async function advanceUntil(condition: () => boolean, milliseconds: number): Promise<void> {
        const isMet = await clock.advanceUntil(condition, milliseconds, checkInvariants);
        expect(isMet, `within ${milliseconds} ms: ${condition}`).to.equal(true);
    }

    async function waitFor<T>(result: Promise<T>, milliseconds = recoveryMilliseconds): Promise<T> {
        let isSettled = false;
        const watched = result.finally(() => {
            isSettled = true;
        });
        watched.catch(() => undefined);
        await advanceUntil(() => isSettled, milliseconds);
        return watched;
    }

    function crash(member: GroupMember): void {
        const log = detachProcess(member);
        member.disk.crash();
        void log?.stop();
    }

    function endProcess(member: GroupMember): void {
        const log = detachProcess(member);
        member.disk.endProcess();
        void log?.stop();
    }

    /** Makes a member unreachable, and returns the log that ran in its process. */
    function detachProcess(member: GroupMember): GroupMember["log"] {
        network.setMember(member.address, undefined);
        network.setFrozen(member.address, false);
        const { log } = member;
        member.log = undefined;
        member.storage = undefined;
        member.lockOwners.endProcess();
        return log;
    }

    async function replaceDisk(member: GroupMember): Promise<void> {
        crash(member);
        member.disk.clear();
        member.isInitialMember = false;
        await start(member);
    }

    async function propose(member: GroupMember): Promise<string> {
        const command = `command${++proposalCount}`;
        const outcome = await member.log!.propose(Buffer.from(command));
        if (outcome.kind === "committed") {
            committed.add(command);
        }
        else if (outcome.kind !== "unknown") {
            rejected.add(command);
        }
        return outcome.kind;
    }

    async function read(member: GroupMember): Promise<boolean> {
        const { log } = member;
        const expected = highestApplied;
        const outcome = await log!.readBarrier();
        if (outcome.kind === "passed") {
            const appliedIndex = log!.getStatus().appliedIndex;
            expect(outcome.index >= expected, "a read misses nothing visible before").to.equal(true);
            expect(appliedIndex >= outcome.index, "a read waits until all is applied").to.equal(true);
        }
        return outcome.kind === "passed";
    }

    function getLeader(): GroupMember | undefined {
        const leading = members.filter(member => member.log?.getStatus().role === ConsensusRole.Leader);
        return leading.sort((first, second) => Number(second.log!.getStatus().term - first.log!.getStatus().term))[0];
    }

    async function waitForLeader(): Promise<GroupMember> {
        await advanceUntil(hasCommittedLeader, recoveryMilliseconds);
        return getLeader()!;

        function hasCommittedLeader(): boolean {
            const log = getLeader()?.log;
            const status = log?.getStatus();
            return (log?.getLeaderLeaseMilliseconds() ?? 0) > 0 && status?.commitIndex === status?.lastIndex;
        }
    }

    async function checkRecovery(): Promise<void> {
        network.heal();
        network.maximumDelayMilliseconds = 5;
        for (const member of members) {
            member.disk.failAfter(Infinity, "EIO");
            member.disk.setFreeBytes(Infinity);
            member.syncMilliseconds = { minimum: 0, maximum: usualSyncMilliseconds };
        }
        await clock.advance(50, checkInvariants);
        for (const member of members) {
            if (member.log?.getStatus().role === ConsensusRole.Stopped) {
                crash(member);
            }
            if (!member.log) {
                await start(member);
            }
        }
        let isCommitted = false;
        const end = clock.getMilliseconds() + recoveryMilliseconds;
        while (!isCommitted && clock.getMilliseconds() < end) {
            const leader = await waitForLeader();
            isCommitted = await waitFor(propose(leader)) === "committed";
        }
        expect(isCommitted, "the group commits again once it is healed").to.equal(true);
        await advanceUntil(haveAllApplied, recoveryMilliseconds);
        const commands = members.map(member => member.machine.getCommands());
        commands.forEach(list => expect(list).to.deep.equal(commands[0]));
        const applied = new Set(commands[0]);
        expect(applied.size, "no command is applied twice").to.equal(commands[0]!.length);
        committed.forEach(command => expect(applied.has(command), `${command} is kept`).to.equal(true));
        rejected.forEach(command => expect(applied.has(command), `${command} never appears`).to.equal(false));
    }

    function haveAllApplied(): boolean {
        const statuses = members.map(member => member.log!.getStatus());
        const last = statuses.reduce((highest, { lastIndex }) => lastIndex > highest ? lastIndex : highest, 0n);
        return statuses.every(status => status.appliedIndex === last);
    }

    async function waitForVoters(voterCount: number): Promise<void> {
        await advanceUntil(hasAllVoters, recoveryMilliseconds);

        function hasAllVoters(): boolean {
            const present = new Set(members.map(member => member.storage?.memberId));
            const status = getLeader()?.log?.getStatus();
            const voters = status?.members.filter(member => member.isVoter) ?? [];
            const isCommitted = status?.commitIndex === status?.lastIndex;
            return isCommitted && voters.length >= voterCount && voters.every(voter => present.has(voter.memberId));
        }
    }

    async function stop(): Promise<void> {
        network.heal();
        const stopping = members.map(member => member.log?.stop());
        await waitFor(Promise.all(stopping));
    }
}

/** Creates metrics that record nothing, since a registry for each member of each case would take most of the time. */
function createMetricsFake(): Metrics {
    return {
        countRefusal: () => undefined,
        countContentionRefusal: () => undefined,
        countRetry: () => undefined,
        countSentRetry: () => undefined,
        countRefusedRetry: () => undefined,
        countUnanswered: () => undefined,
        countTaskFailure: name => {
            throw new Error(`a task failed: ${name}`);
        },
        addCount: () => undefined,
        getCount: () => 0,
        getRefusals: () => ({}),
        getUnanswered: () => ({}),
        addGauge: () => undefined,
        recordMilliseconds: () => undefined,
        getSummary: () => ({ count: 0, p50: 0, p95: 0, p99: 0, maximum: 0 }),
        getText: async () => "",
    };
}
