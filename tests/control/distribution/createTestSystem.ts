import { create, toBinary } from "@bufbuild/protobuf";
import { createControlState, createDistribution, createSidecarSetPart, Distribution } from "../../../src/control";
import {
    ConfigurationPart,
    createConfigurationPart,
    createConfigurationView,
} from "../../../src/control/configuration";
import { ReplicatedLog } from "../../../src/control/consensus";
import { createSilentLogger } from "../../../src/logging";
import { createIncarnation, createMembership, isDispatchAllowed, Membership } from "../../../src/membership";
import { createMetrics } from "../../../src/metrics";
import { Command, CommandSchema, ProcessRole, ProcessState } from "../../../src/protocol";
import { createRandomSource } from "../../../src/runtime";
import { createVirtualTime } from "../../membership/createVirtualTime";
import { createFakeGroup } from "./createFakeGroup";
import { createFakeNetwork } from "./createFakeNetwork";

const stepMilliseconds = 100;
const clockRates = [0.98, 1, 1.02];
const logger = createSilentLogger();

interface Member {
    distribution: Distribution;
    log: ReplicatedLog;
    configuration: ConfigurationPart;
}

/** Runs control members, sidecars and entry processes with a fake network, log and clock. */
export function createTestSystem(seed: number, counts: { members: number; sidecars: number; entries: number; }) {
    const time = createVirtualTime();
    const random = createRandomSource(seed);
    const network = createFakeNetwork(time.createClock(), random);
    const memberIds = createIds("m", counts.members);
    const sidecarIds = createIds("c", counts.sidecars);
    const entryIds = createIds("e", counts.entries);
    const group = createFakeGroup(memberIds, network, time);
    const members = new Map<string, Member>();
    const processes = new Map<string, Membership>();
    const violations: string[] = [];
    let inForce = 0n;
    let changeCount = 0;
    let admittedCount = 0;
    memberIds.forEach(address => startMember(address, false));
    [...sidecarIds, ...entryIds].forEach(startProcess);
    return {
        time,
        network,
        group,
        memberIds,
        sidecarIds,
        entryIds,
        nodeIds: [...memberIds, ...sidecarIds, ...entryIds],
        members,
        processes,
        violations,
        getInForce: () => inForce,
        getChangeCount: () => changeCount,
        getAdmittedCount: () => admittedCount,
        run,
        change,
        isolate,
        pin: connectOnlyTo,
        restart,
        stop,
    };

    function createClock() {
        return time.createClock(clockRates[random.getInteger(clockRates.length)]);
    }

    function startMember(address: string, hasFormerRun: boolean): void {
        const clock = createClock();
        const configuration = createConfigurationPart();
        const sidecarSet = createSidecarSetPart();
        const log = group.createLog(address, createControlState([configuration, sidecarSet]));
        const isCurrent = () => members.get(address)?.log === log;
        const distribution = createDistribution({
            identity: { group: "test", memberId: address, address, incarnation: createIncarnation(clock, random) },
            log,
            configuration,
            sidecarSet,
            peers: {
                shareState: (to, request) =>
                    network.call(
                        address,
                        to,
                        () => isCurrent() ? members.get(to)?.distribution.shareState(request) : undefined,
                        2_000,
                    ),
                execute: async () => ({ kind: "notSent", reason: "fake" }),
                query: async () => ({ kind: "notSent", reason: "fake" }),
                relay: async () => ({ kind: "notSent", reason: "fake" }),
                waitInForce: async () => ({ kind: "notSent", reason: "fake" }),
            },
            propose: async (command: Command) => isCurrent() && log.propose(toBinary(CommandSchema, command)),
            hasFormerRun,
            startsGroup: !hasFormerRun,
            clock,
            logger,
            metrics: createMetrics(),
        });
        members.set(address, { distribution, log, configuration });
    }

    function startProcess(instanceId: string): void {
        const clock = createClock();
        const configuration = createConfigurationView();
        const isCurrent = () => processes.get(instanceId) === membership;
        const membership: Membership = createMembership({
            identity: {
                instanceId,
                incarnation: createIncarnation(clock, random),
                role: instanceId.startsWith("c") ? ProcessRole.COMPANION : ProcessRole.ENTRY,
                address: instanceId,
                dataCentre: "a",
                region: "test",
                serves: "large",
            },
            members: memberIds,
            getPeerAddresses: async () => sidecarIds,
            transports: {
                getTransport: () => undefined as never,
                checkConnection: async () => false,
                stop: async () => {},
            },
            openSession: (address, updates, signal) => {
                const incoming = network.deliverInOrder(instanceId, address, updates);
                const events = members.get(address)!.distribution.serveSession(incoming, signal);
                return endOnAbort(network.deliverInOrder(address, instanceId, events), signal);
            },
            sidecarPeers: {
                requestConfirmation: (to, request) =>
                    callSidecar(to, peer => peer.stateHandler.confirmRevision(request)),
                fetchState: (to, request) => callSidecar(to, peer => peer.stateHandler.fetchState(request)),
            },
            configuration,
            clock,
            random,
            logger,
            metrics: createMetrics(),
        });
        processes.set(instanceId, membership);
        membership.session.setState(ProcessState.READY);

        async function callSidecar<T>(to: string, handle: (peer: Membership) => T): Promise<T | undefined> {
            const peer = processes.get(to);
            const respond = () => peer !== undefined && peer === processes.get(to) ? handle(peer) : undefined;
            const outcome = await network.call(instanceId, to, () => isCurrent() ? respond() : undefined, 1_000);
            return outcome.kind === "answered" ? outcome.response : undefined;
        }
    }

    /** Advances the time, and checks in each step that no work is admitted under a revision older than one in force. */
    async function run(milliseconds: number): Promise<void> {
        for (let elapsed = 0; elapsed < milliseconds; elapsed += stepMilliseconds) {
            group.step();
            await time.advance(stepMilliseconds);
            entryIds.forEach(dispatch);
            await observeInForce();
        }
    }

    /** Dispatches work from an entry process to each reachable sidecar, if both admit it. */
    function dispatch(entryId: string): void {
        const { authority } = processes.get(entryId)!;
        void authority.checkAuthority();
        for (const sidecarId of sidecarIds) {
            const revision = authority.getRevision();
            const isReached = network.isOpen(entryId, sidecarId) && network.isOpen(sidecarId, entryId);
            const sidecar = processes.get(sidecarId)!.authority;
            if (!isReached || !isDispatchAllowed(sidecar, revision, authority.hasOwnAuthority())) {
                continue;
            }
            admittedCount++;
            if (revision < inForce) {
                violations.push(`${time.getNow()}: ${entryId} to ${sidecarId} at ${revision}, in force ${inForce}`);
            }
        }
    }

    async function observeInForce(): Promise<void> {
        for (const { distribution, configuration } of members.values()) {
            const revision = configuration.getRevision();
            void distribution.waitInForce(revision, 0).then(check => {
                if (check.kind === "inForce" && revision > inForce) {
                    inForce = revision;
                }
            });
        }
    }

    /** Commits a configuration change at the leader, if there is one. */
    async function change(): Promise<void> {
        const leader = group.getLeader();
        if (leader === undefined) {
            return;
        }
        const { log, configuration } = members.get(leader)!;
        changeCount++;
        const command = create(CommandSchema, {
            command: {
                case: "configuration",
                value: {
                    changeId: `change-${changeCount}`,
                    author: "test",
                    expectedRevision: configuration.getRevision(),
                    operations: [{ level: "/", setting: "limits.requestsPerSecond", value: String(changeCount) }],
                },
            },
        });
        await log.propose(toBinary(CommandSchema, command));
    }

    /** Cuts a node's links from ("in"), to ("out") or from and to ("both") other nodes. */
    function isolate(nodeId: string, others: readonly string[], direction: "both" | "in" | "out"): void {
        for (const other of others.filter(candidate => candidate !== nodeId)) {
            if (direction !== "in") {
                network.cut(nodeId, other);
            }
            if (direction !== "out") {
                network.cut(other, nodeId);
            }
        }
    }

    /** Cuts processes off from all control members but one. */
    function connectOnlyTo(processIds: readonly string[], memberId: string): void {
        const others = memberIds.filter(other => other !== memberId);
        processIds.forEach(processId => isolate(processId, others, "both"));
    }

    /** Restarts a node without a shutdown notice from the former run. */
    function restart(nodeId: string): void {
        const member = members.get(nodeId);
        if (member !== undefined) {
            startMember(nodeId, true);
            void member.distribution.stop();
            return;
        }
        const former = processes.get(nodeId)!;
        startProcess(nodeId);
        void former.session.stop();
    }

    async function stop(): Promise<void> {
        network.heal();
        const stopping = Promise.all([
            ...[...processes.values()].map(process => process.stop()),
            ...[...members.values()].map(member => member.distribution.stop()),
        ]);
        let isStopped = false;
        void stopping.then(() => isStopped = true);
        while (!isStopped) {
            await time.advance(stepMilliseconds);
        }
    }
}

function createIds(prefix: string, count: number): string[] {
    return [...Array(count).keys()].map(index => `${prefix}${index}`);
}

/** Ends an iteration when a signal aborts, without waiting for the next item. */
async function* endOnAbort<T>(items: AsyncIterable<T>, signal: AbortSignal): AsyncGenerator<T> {
    const iterator = items[Symbol.asyncIterator]();
    const aborted = new Promise<undefined>(resolve => {
        signal.addEventListener("abort", () => resolve(undefined), { once: true });
    });
    while (!signal.aborted) {
        const result = await Promise.race([iterator.next(), aborted]);
        if (result === undefined || result.done) {
            return;
        }
        yield result.value;
    }
}
