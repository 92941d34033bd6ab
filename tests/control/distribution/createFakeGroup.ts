import { ConsensusRole, LogStatus, ProposeOutcome, ReplicatedLog, StateMachine } from "../../../src/control/consensus";
import { VirtualTime } from "../../membership/createVirtualTime";
import { FakeNetwork } from "./createFakeNetwork";

/** A fake replicated log: one leader in each term, no committed entry is lost, members apply entries with a delay. */
export interface FakeGroup {
    /** Creates the log of a member that has just started: its state machine gets all entries from the first on. */
    createLog(address: string, stateMachine: StateMachine): ReplicatedLog;
    /** Renews or changes leadership and replicates entries, as far as links allow. */
    step(): void;
    getLeader(): string | undefined;
}

const leaderLeaseMilliseconds = 900;
const electionMilliseconds = 100;
const applyLagMilliseconds = 200;

interface Member {
    logLength: number;
    logChangedAt: number;
    appliedCount: number;
    results: Uint8Array[];
    stateMachine: StateMachine;
    listeners: Set<(status: LogStatus) => void>;
    knownLeader: string | undefined;
    term: bigint;
}

export function createFakeGroup(addresses: readonly string[], network: FakeNetwork, time: VirtualTime): FakeGroup {
    const entries: Uint8Array[] = [];
    const members = new Map<string, Member>();
    let term = 0n;
    let leader: string | undefined;
    let leaseExpiresAt = 0;
    return { createLog, step, getLeader: () => leader };

    function createLog(address: string, stateMachine: StateMachine): ReplicatedLog {
        const logLength = members.get(address)?.logLength ?? 0;
        const member: Member = {
            logLength,
            logChangedAt: time.getNow(),
            appliedCount: 0,
            results: [],
            stateMachine,
            listeners: new Set(),
            knownLeader: undefined,
            term,
        };
        members.set(address, member);
        if (leader === address) {
            leaseExpiresAt = Math.min(leaseExpiresAt, time.getNow());
        }
        return {
            propose: command => propose(address, command),
            readBarrier: async () => {
                apply(member);
                return { kind: "passed", index: BigInt(member.appliedCount) };
            },
            getStatus: () => getStatus(address, member),
            changeMembers: async () => ({ kind: "refused", reason: "fake" }),
            getLeaderLeaseMilliseconds: () => hasLeaderLease(address) ? leaseExpiresAt - time.getNow() : 0,
            addStatusListener: listener => {
                member.listeners.add(listener);
                return () => member.listeners.delete(listener);
            },
            stop: async () => {},
        };
    }

    function hasLeaderLease(address: string): boolean {
        return leader === address && time.getNow() < leaseExpiresAt;
    }

    function getStatus(address: string, member: Member): LogStatus {
        return {
            memberId: address,
            role: hasLeaderLease(address) ? ConsensusRole.Leader : ConsensusRole.Follower,
            term: member.term,
            leaderAddress: hasLeaderLease(address) ? address : member.knownLeader,
            commitIndex: BigInt(member.logLength),
            appliedIndex: BigInt(member.appliedCount),
            lostVoterAddresses: [],
            lastIndex: BigInt(member.logLength),
            entryBytes: 0,
            entriesSinceSnapshot: member.logLength,
            tolerance: undefined,
            members: addresses.map(memberId => ({
                memberId,
                address: memberId,
                isVoter: true,
                matchIndex: undefined,
            })),
        };
    }

    async function propose(address: string, command: Uint8Array): Promise<ProposeOutcome> {
        const followers = getReachableMembers(address);
        if (!hasLeaderLease(address) || followers.length * 2 <= addresses.length) {
            return { kind: "notLeader", leaderAddress: undefined };
        }
        entries.push(command);
        for (const follower of followers) {
            const followerMember = members.get(follower)!;
            followerMember.logLength = entries.length;
            followerMember.logChangedAt = time.getNow();
        }
        const member = members.get(address)!;
        apply(member);
        return { kind: "committed", term, index: BigInt(entries.length), result: member.results.at(-1)! };
    }

    /** Gets the members that can exchange messages with a member, including itself. */
    function getReachableMembers(address: string): string[] {
        return addresses.filter(other =>
            members.has(other) && network.isOpen(address, other) && network.isOpen(other, address)
        );
    }

    function apply(member: Member): void {
        while (member.appliedCount < member.logLength) {
            const index = member.appliedCount++;
            const context = { term, index: BigInt(index + 1), timeMilliseconds: 0 };
            member.results.push(member.stateMachine.apply(entries[index]!, context));
        }
    }

    function step(): void {
        const formerLeader = leader;
        const formerTerm = term;
        const isLeading = leader !== undefined
            && (hasLeaderLease(leader) || time.getNow() < leaseExpiresAt + electionMilliseconds);
        if (isLeading && hasLeaderLease(leader!) && getReachableMembers(leader!).length * 2 > addresses.length) {
            leaseExpiresAt = time.getNow() + leaderLeaseMilliseconds;
        }
        else if (!isLeading) {
            elect();
        }
        if (leader !== undefined && hasLeaderLease(leader)) {
            replicate(leader);
        }
        if (formerTerm !== term || formerLeader !== undefined && !hasLeaderLease(formerLeader)) {
            members.forEach((member, address) =>
                member.listeners.forEach(listener => listener(getStatus(address, member)))
            );
        }
    }

    function elect(): void {
        const formerLeader = leader;
        const candidates = [...addresses].sort((first, second) =>
            Number(first === formerLeader) - Number(second === formerLeader)
        );
        leader = candidates.find(address =>
            time.getNow() >= leaseExpiresAt
            && getReachableMembers(address).length * 2 > addresses.length
            && members.get(address)!.logLength === entries.length
        );
        if (leader !== undefined) {
            term++;
            leaseExpiresAt = time.getNow() + leaderLeaseMilliseconds;
        }
    }

    function replicate(address: string): void {
        for (const follower of getReachableMembers(address)) {
            const member = members.get(follower)!;
            if (member.logLength < entries.length) {
                member.logChangedAt = time.getNow();
            }
            member.logLength = entries.length;
            member.knownLeader = address;
            member.term = term;
            if (time.getNow() - member.logChangedAt >= applyLagMilliseconds) {
                apply(member);
            }
        }
    }
}
