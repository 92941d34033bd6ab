/*
 * Measures the cost of claims for the members of a replicated log: three members, each in a separate process with a log
 * on disk, and a client that opens and settles claims at several rates. Prints one line of JSON for each figure.
 */
import { create } from "@bufbuild/protobuf";
import { ChildProcess, fork } from "node:child_process";
import { createHash } from "node:crypto";
import { once } from "node:events";
import { ControlClient, createControlClient, createControlPeers } from "../../src/control";
import { createClaimsPart } from "../../src/control/claims";
import { ConsensusRole } from "../../src/control/consensus";
import { ClaimSchema, ClaimState, Command, CommandSchema, createPeerTransports } from "../../src/protocol";
import { createRandomSource, createSystemClock } from "../../src/runtime";
import { getFreeAddress } from "./getFreeAddress";
import { printFigure } from "./printFigure";
import { startMeasuredMember } from "./startMeasuredMember";

const memberCount = 3;
const rates = [0, 50, 100, 200, 300];
const secondsPerRate = 6;
const warmUpClaims = 2_000;
const warmUpRate = 300;
const intervalMilliseconds = 20;
const pollMilliseconds = 100;
const responseBody = Buffer.alloc(300, "a");
const clock = createSystemClock();

interface MemberState {
    role: ConsensusRole;
    memberCount: number;
    processorMicroseconds: number;
    resident: number;
    heap: number;
}

let claimNumber = 0;

if (process.argv[2] === "member") {
    void runMember(process.argv[3]!, process.argv.slice(4));
}
else {
    void measure();
}

/** Runs one member until the parent process disconnects. */
async function runMember(address: string, members: readonly string[]): Promise<void> {
    const { member, stop } = await startMeasuredMember(address, members, [createClaimsPart()]);
    process.on("disconnect", () => void stop().then(() => process.exit()));
    process.on("message", () => {
        globalThis.gc?.();
        const { user, system } = process.cpuUsage();
        const { role, members: known } = member.log.getStatus();
        const { rss, heapUsed } = process.memoryUsage();
        const state: MemberState = {
            role,
            memberCount: known.filter(({ isVoter }) => isVoter).length,
            processorMicroseconds: user + system,
            resident: rss,
            heap: heapUsed,
        };
        process.send!(state);
    });
}

async function measure(): Promise<void> {
    const addresses = [await getFreeAddress(), await getFreeAddress(), await getFreeAddress()].slice(0, memberCount);
    const children = addresses.map(address =>
        fork(process.argv[1]!, ["member", address, ...addresses], { execArgv: process.execArgv })
    );
    const transports = createPeerTransports();
    const peers = createControlPeers(transports);
    const client = createControlClient({ members: addresses, peers, clock, random: createRandomSource(1) });
    await waitForGroup(children);
    await runClaims(client, warmUpRate, Math.ceil(warmUpClaims / warmUpRate));
    for (const rate of rates) {
        await measureRate(children, client, rate);
    }
    await transports.stop();
    children.forEach(child => child.disconnect());
}

async function measureRate(children: readonly ChildProcess[], client: ControlClient, rate: number): Promise<void> {
    const before = await Promise.all(children.map(getState));
    const start = performance.now();
    const times = await runClaims(client, rate, secondsPerRate);
    const seconds = (performance.now() - start) / 1_000;
    const after = await Promise.all(children.map(getState));
    const leader = after.findIndex(({ role }) => role === ConsensusRole.Leader);
    if (leader < 0 || before[leader]!.role !== ConsensusRole.Leader) {
        throw new Error("The leader changed during the measurement");
    }
    const processorRates = after.map((state, index) =>
        (state.processorMicroseconds - before[index]!.processorMicroseconds) / seconds
    );
    const followers = processorRates.filter(use => use !== processorRates[leader]);
    printFigure(`controlLog.${rate}.achieved`, times.length / seconds, "claims/s");
    printFigure(`controlLog.${rate}.leader`, processorRates[leader]!, "us/s");
    printFigure(`controlLog.${rate}.follower`, Math.max(...followers), "us/s");
    printFigure(`controlLog.${rate}.leaderResident`, after[leader]!.resident, "bytes");
    printFigure(`controlLog.${rate}.leaderHeap`, after[leader]!.heap, "bytes");
    printFigure(`controlLog.${rate}.claimsHeld`, claimNumber, "claims");
    times.sort((left, right) => left - right);
    if (times.length > 0) {
        printFigure(`controlLog.${rate}.openMedian`, times[Math.floor(times.length / 2)]!, "ms");
    }
}

/** Opens and settles claims at a rate; returns the milliseconds that each claim took to open. */
async function runClaims(client: ControlClient, rate: number, seconds: number): Promise<number[]> {
    const begin = performance.now();
    const running: Promise<number>[] = [];
    while (performance.now() - begin < seconds * 1_000) {
        const due = Math.floor((performance.now() - begin) / 1_000 * rate);
        while (running.length < due) {
            running.push(runClaim(client));
        }
        await clock.sleep(intervalMilliseconds);
    }
    return Promise.all(running);
}

async function runClaim(client: ControlClient): Promise<number> {
    const key = `key-${claimNumber++}`;
    const begin = performance.now();
    const opened = await client.execute(createOpenCommand(key));
    const milliseconds = performance.now() - begin;
    const result = opened.kind === "committed" ? opened.result.result : undefined;
    if (result?.case !== "claim" || result.value.claim === undefined) {
        throw new Error(`The claim was not granted: ${opened.kind}`);
    }
    const settled = await client.execute(create(CommandSchema, {
        command: {
            case: "settleClaim",
            value: {
                workspace: "workspace",
                idempotencyKey: key,
                number: result.value.claim.number,
                state: ClaimState.ANSWERED,
                answer: { status: 200, headersJson: Buffer.from("{}"), body: responseBody },
            },
        },
    }));
    if (settled.kind !== "committed") {
        throw new Error(`The claim was not settled: ${settled.kind}`);
    }
    return milliseconds;
}

function createOpenCommand(key: string): Command {
    const claim = create(ClaimSchema, {
        workspace: "workspace",
        idempotencyKey: key,
        bodyDigest: createHash("sha256").update(key).digest(),
        companion: "instance-1",
        companionAddress: "127.0.0.1:1",
        companionIncarnation: "incarnation-1",
        attempt: 1,
        requestId: key,
    });
    return create(CommandSchema, { command: { case: "openClaim", value: { claim } } });
}

async function waitForGroup(children: readonly ChildProcess[]): Promise<void> {
    let states: readonly MemberState[] = [];
    while (
        !states.some(({ role }) => role === ConsensusRole.Leader)
        || states.some(state => state.memberCount < memberCount)
    ) {
        await clock.sleep(pollMilliseconds);
        states = await Promise.all(children.map(getState));
    }
}

async function getState(child: ChildProcess): Promise<MemberState> {
    child.send("state");
    const [state] = await once(child, "message") as [MemberState];
    return state;
}
