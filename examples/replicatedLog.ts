/*
 * A counter that is replicated over three members. Each member has a folder and a listener on loopback; the commands are
 * numbers to add.
 *
 * Run: npx tsx examples/replicatedLog.ts
 */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
    addConsensusService,
    ConsensusHandlers,
    createConnectPeers,
    createMetrics,
    createPeerTransports,
    createRandomSource,
    createReplicatedLog,
    createSilentLogger,
    createSystemClock,
    openLogStorage,
    ReplicatedLog,
    startInternalServer,
    StateMachine,
} from "../src";

const clock = createSystemClock();
const pollMilliseconds = 20;

/** A member of the group, with its listener. */
interface Member {
    /** The address of the listener. */
    address: string;
    /** The member's log; undefined until the member is started. */
    log: ReplicatedLog | undefined;
    /** Gets the sum of all commands that the member has applied. */
    getTotal(): number;
    /** Starts the log, with the addresses of all members. */
    start(addresses: readonly string[]): void;
    /** Stops the member, and removes its folder. */
    stop(): Promise<void>;
}

/** Creates the state machine that the log applies commands to: the sum of all numbers. */
function createCounter(): StateMachine & { getTotal(): number; } {
    let total = 0;
    return {
        getTotal: () => total,
        apply(command) {
            total += Number(Buffer.from(command).toString("utf8"));
            return Buffer.from(String(total));
        },
        takeSnapshot: () => Buffer.from(String(total)),
        restoreSnapshot(snapshot) {
            total = Number(Buffer.from(snapshot).toString("utf8"));
        },
    };
}

/** Opens the storage of a member and starts its listener; the log is started separately, once all addresses are known. */
async function startMember(seed: number): Promise<Member> {
    const folder = await mkdtemp(join(tmpdir(), "basilwing-example-"));
    const logger = createSilentLogger();
    const metrics = createMetrics();
    const opened = await openLogStorage({ folder, logger, metrics });
    if (opened.kind !== "opened") {
        throw new Error(opened.reason);
    }
    const { storage } = opened;
    const transports = createPeerTransports();
    const counter = createCounter();
    let log: (ReplicatedLog & ConsensusHandlers) | undefined;
    const server = await startInternalServer({ address: "127.0.0.1", port: 0 }, router =>
        addConsensusService(router, {
            handleVote: async request => log?.handleVote(request),
            handleAppend: async request => log?.handleAppend(request),
            handleHeartbeat: async request => log?.handleHeartbeat(request),
            handleSnapshotPart: async part => log?.handleSnapshotPart(part),
            handleJoin: async request => log?.handleJoin(request),
            handleLeadership: async request => log?.handleLeadership(request),
            handleReadIndex: async request => log?.handleReadIndex(request),
        }));
    return {
        address: server.address,
        get log() {
            return log;
        },
        getTotal: counter.getTotal,
        start,
        stop,
    };

    function start(addresses: readonly string[]): void {
        log = createReplicatedLog({
            group: "example",
            address: server.address,
            storage,
            peers: createConnectPeers(transports),
            stateMachine: counter,
            join: { addresses, startsGroup: true },
            clock,
            random: createRandomSource(seed),
            logger,
            metrics,
        });
    }

    async function stop(): Promise<void> {
        await log?.stop();
        await transports.stop();
        await server.stop();
        await storage.stop();
        await rm(folder, { recursive: true });
    }
}

/** Proposes a command to each member in turn until the leader commits it. */
async function addNumber(members: readonly Member[], number: number): Promise<void> {
    while (true) {
        for (const { log } of members) {
            const outcome = await log!.propose(Buffer.from(String(number)));
            if (outcome.kind === "committed") {
                console.log(`added ${number}: the total is ${Buffer.from(outcome.result).toString("utf8")}`);
                return;
            }
            if (outcome.kind === "unknown") {
                throw new Error("The command may be committed or not; proposing it again could add it twice");
            }
        }
        await clock.sleep(pollMilliseconds);
    }
}

async function run(): Promise<void> {
    const members = [await startMember(1), await startMember(2), await startMember(3)];
    members.forEach(member => member.start(members.map(({ address }) => address)));
    await addNumber(members, 40);
    await addNumber(members, 2);
    for (const member of members) {
        while ((await member.log!.readBarrier()).kind !== "passed") {
            await clock.sleep(pollMilliseconds);
        }
    }
    console.log(`every member holds ${members.map(member => member.getTotal()).join(", ")}`);
    await Promise.all(members.map(member => member.stop()));
}

void run();
