/*
 * Measures the cost of sessions for a control member, with stand-in entry processes and sidecars in another process.
 * Prints one line of JSON for each figure. The arguments are the numbers of session streams to measure.
 */
import { create } from "@bufbuild/protobuf";
import { ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { AddressInfo, createServer } from "node:net";
import { ControlMember } from "../../src/control";
import { CommandSchema } from "../../src/protocol";
import { createSystemClock } from "../../src/runtime";
import { runStandInSessions } from "./runStandInSessions";
import { startMeasuredMember } from "./startMeasuredMember";

const defaultCounts = [100, 200, 300, 400, 500];
const restMilliseconds = 8_000;
const settleMilliseconds = 4_000;
const warmUpChangeCount = 60;
const changeCount = 20;
const pauseMilliseconds = 250;
const clock = createSystemClock();

interface StandInReply {
    bytes: { received: number; sent: number; };
    milliseconds: number;
}

interface Usage {
    processorMicroseconds: number;
    bytes: number;
    milliseconds: number;
}

let changeNumber = 0;

async function measure(counts: readonly number[]): Promise<void> {
    const address = await getFreeAddress();
    const { member, stop } = await startMeasuredMember(address, [address]);
    const child = fork(process.argv[1]!, ["standIns", address], { execArgv: process.execArgv });
    await once(child, "message");
    await sendCommand(child, "grow", counts[0]);
    for (let index = 0; index < warmUpChangeCount; index++) {
        await commitChange(member);
        await sendCommand(child, "changeVersion");
    }
    await clock.sleep(settleMilliseconds);
    for (const count of counts) {
        await measureCount(member, child, count);
    }
    const { milliseconds } = await sendCommand(child, "leave");
    print("leaving.lastNewWork", milliseconds, "ms");
    child.kill();
    await stop();
}

async function measureCount(member: ControlMember, child: ChildProcess, count: number): Promise<void> {
    await sendCommand(child, "grow", count);
    await clock.sleep(settleMilliseconds);
    const rest = await measureUsage(child, () => clock.sleep(restMilliseconds));
    const seconds = rest.milliseconds / 1_000;
    print(`sessions.${count}.rest.processor`, rest.processorMicroseconds / seconds, "us/s");
    print(`sessions.${count}.rest.bytes`, rest.bytes / seconds, "bytes/s");
    globalThis.gc?.();
    print(`sessions.${count}.memory`, process.memoryUsage().rss, "bytes");
    print(`sessions.${count}.heap`, process.memoryUsage().heapUsed, "bytes");
    const times: number[] = [];
    const changes = await measureUsage(child, async () => {
        for (let index = 0; index < changeCount; index++) {
            times.push(await commitChange(member));
            await clock.sleep(pauseMilliseconds);
        }
    });
    printPerEvent(`sessions.${count}.change`, changes, rest);
    times.sort((first, second) => first - second);
    print(`sessions.${count}.change.inForceMedian`, times[Math.floor(times.length / 2)]!, "ms");
    print(`sessions.${count}.change.inForceMaximum`, times.at(-1)!, "ms");
    const updates = await measureUsage(child, async () => {
        for (let index = 0; index < changeCount; index++) {
            await sendCommand(child, "changeVersion");
            await clock.sleep(pauseMilliseconds);
        }
    });
    printPerEvent(`sessions.${count}.directory`, updates, rest);
}

/** Prints the cost of one event in addition to the idle cost. */
function printPerEvent(name: string, usage: Usage, rest: Usage): void {
    const share = usage.milliseconds / rest.milliseconds;
    const processor = usage.processorMicroseconds - rest.processorMicroseconds * share;
    print(`${name}.processor`, processor / changeCount, "us/event");
    print(`${name}.bytes`, (usage.bytes - rest.bytes * share) / changeCount, "bytes/event");
}

/** Commits a change, and returns the milliseconds from its acceptance until it is in force. */
async function commitChange(member: ControlMember): Promise<number> {
    changeNumber++;
    const result = await member.client.execute(create(CommandSchema, {
        command: {
            case: "configuration",
            value: {
                changeId: `change-${changeNumber}`,
                author: "measure",
                expectedRevision: BigInt(changeNumber - 1),
                operations: [{ level: "/", setting: "limits.requestsPerSecond", value: String(changeNumber) }],
            },
        },
    }));
    const start = performance.now();
    const check = await member.waitInForce(BigInt(changeNumber), 30_000);
    if (result.kind !== "committed" || check.kind !== "inForce") {
        throw new Error(`change ${changeNumber}: ${result.kind}, ${JSON.stringify(check)}`);
    }
    return performance.now() - start;
}

/** Gets the resources that this process uses while a function runs. */
async function measureUsage(child: ChildProcess, run: () => Promise<void>): Promise<Usage> {
    const bytesBefore = (await sendCommand(child, "count")).bytes;
    const processorBefore = process.cpuUsage();
    const start = performance.now();
    await run();
    const milliseconds = performance.now() - start;
    const processor = process.cpuUsage(processorBefore);
    const bytes = (await sendCommand(child, "count")).bytes;
    return {
        processorMicroseconds: processor.user + processor.system,
        bytes: bytes.received + bytes.sent - bytesBefore.received - bytesBefore.sent,
        milliseconds,
    };
}

async function sendCommand(child: ChildProcess, kind: string, count = 0): Promise<StandInReply> {
    child.send({ kind, count });
    const [reply] = await once(child, "message") as [StandInReply];
    return reply;
}

function print(name: string, value: number, unit: string): void {
    console.log(JSON.stringify({ name, value: Math.round(value * 100) / 100, unit }));
}

/** Gets a loopback address with a free port. */
async function getFreeAddress(): Promise<string> {
    const server = createServer();
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return `127.0.0.1:${port}`;
}

const [first, ...rest] = process.argv.slice(2);
if (first === "standIns") {
    void runStandInSessions(rest);
}
else {
    const counts = process.argv.slice(2).map(Number);
    void measure(counts.length > 0 ? counts : defaultCounts);
}
