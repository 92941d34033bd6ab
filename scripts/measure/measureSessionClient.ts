/*
 * Measures the cost of a control session for an entry process or a sidecar: processor time and bytes when idle, per
 * configuration change, and per directory change. Several stand-ins share a process; a control member runs in another.
 * Prints one line of JSON for each figure.
 */
import { create } from "@bufbuild/protobuf";
import { ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { ControlMember } from "../../src/control";
import { CommandSchema } from "../../src/protocol";
import { createSystemClock } from "../../src/runtime";
import { getFreeAddress } from "./getFreeAddress";
import { printFigure } from "./printFigure";
import { runStandInSessions } from "./runStandInSessions";
import { startMeasuredMember } from "./startMeasuredMember";

const counts = [10, 50, 100, 150, 200];
const restMilliseconds = 6_000;
const settleMilliseconds = 3_000;
const warmUpEvents = 60;
const eventCount = 20;
const pauseMilliseconds = 150;
const clock = createSystemClock();
let revision = 0;

interface Usage {
    seconds: number;
    processorMicroseconds: number;
    received: number;
    sent: number;
}

interface StandInReply {
    bytes: { received: number; sent: number; };
    processor: NodeJS.CpuUsage;
}

if (process.argv[2] === "standIns") {
    void runStandInSessions(process.argv.slice(3));
}
else {
    void measure();
}

async function measure(): Promise<void> {
    const address = await getFreeAddress();
    const { member, stop } = await startMeasuredMember(address, [address]);
    const child = fork(process.argv[1]!, ["standIns", address], { execArgv: process.execArgv });
    await once(child, "message");
    await sendCommand(child, "grow", counts[0]);
    for (let event = 0; event < warmUpEvents; event++) {
        await commitChange(member);
        await sendCommand(child, "changeVersion");
    }
    for (const count of counts) {
        await measureCount(member, child, count);
    }
    child.kill();
    await stop();
}

async function measureCount(member: ControlMember, child: ChildProcess, count: number): Promise<void> {
    await sendCommand(child, "grow", count);
    await clock.sleep(settleMilliseconds);
    const rest = await measureUsage(child, () => clock.sleep(restMilliseconds));
    printFigure(`sessionClient.${count}.rest.processor`, rest.processorMicroseconds / rest.seconds, "us/s");
    printFigure(`sessionClient.${count}.rest.received`, rest.received / rest.seconds, "bytes/s");
    printFigure(`sessionClient.${count}.rest.sent`, rest.sent / rest.seconds, "bytes/s");
    const changes = await measureUsage(child, () => repeat(() => commitChange(member)));
    printPerEvent(`sessionClient.${count}.change`, changes, rest);
    const updates = await measureUsage(child, () => repeat(() => sendCommand(child, "changeVersion")));
    printPerEvent(`sessionClient.${count}.directory`, updates, rest);
}

async function repeat(run: () => Promise<unknown>): Promise<void> {
    for (let event = 0; event < eventCount; event++) {
        await run();
        await clock.sleep(pauseMilliseconds);
    }
}

/** Prints the cost of one event in addition to the idle cost. */
function printPerEvent(name: string, total: Usage, rest: Usage): void {
    const share = total.seconds / rest.seconds;
    const processor = total.processorMicroseconds - rest.processorMicroseconds * share;
    const bytes = total.received + total.sent - (rest.received + rest.sent) * share;
    printFigure(`${name}.processor`, processor / eventCount, "us/event");
    printFigure(`${name}.bytes`, bytes / eventCount, "bytes/event");
}

async function commitChange(member: ControlMember): Promise<void> {
    const expectedRevision = BigInt(revision);
    revision++;
    const operations = [{ level: "/", setting: "limits.requestsPerSecond", value: String(revision) }];
    const value = { changeId: `change-${revision}`, author: "measure", expectedRevision, operations };
    const result = await member.client.execute(create(CommandSchema, { command: { case: "configuration", value } }));
    const check = await member.waitInForce(BigInt(revision), 30_000);
    if (result.kind !== "committed" || check.kind !== "inForce") {
        throw new Error(`change ${revision}: ${result.kind}, ${check.kind}`);
    }
}

/** Gets the resources that the stand-ins' process uses while a function runs. */
async function measureUsage(child: ChildProcess, run: () => Promise<unknown>): Promise<Usage> {
    const before = await sendCommand(child, "count");
    const start = performance.now();
    await run();
    const seconds = (performance.now() - start) / 1_000;
    const after = await sendCommand(child, "count");
    return {
        seconds,
        processorMicroseconds: after.processor.user + after.processor.system - before.processor.user
            - before.processor.system,
        received: after.bytes.received - before.bytes.received,
        sent: after.bytes.sent - before.bytes.sent,
    };
}

async function sendCommand(child: ChildProcess, kind: string, count = 0): Promise<StandInReply> {
    child.send({ kind, count });
    const [reply] = await once(child, "message") as [StandInReply];
    return reply;
}
