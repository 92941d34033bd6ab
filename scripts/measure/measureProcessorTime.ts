/*
 * Measures the processor time of the platform's built programs: a start, an idle process, and a request. Prints one line of
 * JSON for each figure: {name, value, unit}. With several folders it measures the programs of each one in turn, in several
 * rounds, so that versions are compared in one run.
 *
 * Run: node scripts/buildPlatform.mjs && npx tsx scripts/measure/measureProcessorTime.ts [FOLDER...] [--quick] [--profile]
 * FOLDER holds the programs in `target`; the current folder by default. With --profile the processes write profiles into
 * `target/processorTime`, with `phases.jsonl` naming the times of each phase on the monotonic clock in microseconds.
 */
import { appendFileSync } from "node:fs";
import { basename, join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { MeasuredProcess } from "../../tests/platform/processorTime/MeasuredProcess";
import { startMeasuredDeployment } from "../../tests/platform/processorTime/startMeasuredDeployment";
import { createSoakClient, SoakClient } from "../../tests/platform/soak/createSoakClient";
import { soakPorts } from "../../tests/platform/soak/soakPorts";
import { printFigure } from "./printFigure";

const fewEntries = 3;
const manyEntries = 12;
const readinessTimeoutMilliseconds = 20_000;
const readinessIntervalMilliseconds = 20;
/** The time between two requests, in milliseconds: 10 a second for each of 12 entry processes; more occupy the stand-ins fully. */
const requestIntervalMilliseconds = 1_000 / 120;
const okStatus = 200;
const nanosecondsPerSecond = 1e9;
const isQuick = process.argv.includes("--quick");
const isProfiled = process.argv.includes("--profile");
const phaseMilliseconds = isQuick ? 3_000 : 8_000;
const warmUpMilliseconds = 2_000;
const rounds = isQuick || isProfiled ? 1 : 3;
const outputFolder = join("target", "processorTime", String(Date.now()));

/** The figures of one folder, by name. */
type Samples = Map<string, number[]>;

void measureAll(process.argv.slice(2).filter(argument => !argument.startsWith("--")));

async function measureAll(folders: readonly string[]): Promise<void> {
    const names = folders.length > 0 ? folders : ["."];
    const samples = names.map((): Samples => new Map());
    for (let round = 0; round < rounds; round++) {
        for (const [index, name] of names.entries()) {
            await measureOnce(name, `127.235.${round * names.length + index}`, samples[index]!);
        }
    }
    names.forEach((name, index) => {
        for (const [figure, values] of samples[index]!) {
            const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
            const [figureName, unit] = figure.split(" ") as [string, string];
            printFigure(`processorTime.${basename(resolve(name))}.${figureName}`, mean, unit);
        }
    });
    process.exit();
}

/** Starts one deployment, and adds its figures. */
async function measureOnce(programFolder: string, network: string, samples: Samples): Promise<void> {
    const folder = join(outputFolder, network);
    const deployment = await startMeasuredDeployment({ programFolder, network, folder, isProfiled });
    const entries: MeasuredProcess[] = [];
    let failedCount = 0;
    try {
        await measurePhases();
    }
    finally {
        await deployment.stop();
    }

    async function measurePhases(): Promise<void> {
        await startEntries(fewEntries);
        await measurePhase("idle3", wait);
        await startEntries(manyEntries - fewEntries);
        await measurePhase("idle12", wait);
        for (const [name, prefix] of [["buffered", "/read/"], ["stream", "/label/"]] as const) {
            await sendRequests(prefix, warmUpMilliseconds);
            failedCount = 0;
            const { entryTotal, count } = await measurePhase(name, () => sendRequests(prefix, phaseMilliseconds));
            add(`${name}.request ms`, entryTotal / count);
            add(`${name}.failed requests`, failedCount);
        }
    }

    function add(figure: string, value: number): void {
        samples.set(figure, [...samples.get(figure) ?? [], value]);
    }

    /** Starts entry processes one after the other, and adds the processor time of each until it is ready. */
    async function startEntries(count: number): Promise<void> {
        for (let index = 0; index < count; index++) {
            const entry = deployment.startEntry();
            await waitUntilReady(entry);
            add("start ms", entry.getProcessorMilliseconds());
            entries.push(entry);
        }
        await sleep(warmUpMilliseconds);
    }

    /** Adds the processor time of all processes during a phase; the busiest control member is the leader. */
    async function measurePhase(name: string, run: () => Promise<number>) {
        const start = process.hrtime.bigint();
        const entryStarts = getTimes(entries);
        const controlStarts = getTimes(deployment.controls);
        const count = await run();
        const seconds = Number(process.hrtime.bigint() - start) / nanosecondsPerSecond;
        const entryTotal = getSum(getTimes(entries).map((time, index) => time - entryStarts[index]!));
        const [leader = 0, ...followers] = getTimes(deployment.controls)
            .map((time, index) => time - controlStarts[index]!)
            .sort((left, right) => right - left);
        add(`${name}.entry ms/s`, entryTotal / entries.length / seconds);
        add(`${name}.leader ms/s`, leader / seconds);
        add(`${name}.follower ms/s`, getSum(followers) / followers.length / seconds);
        const line = { name, start: Number(start / 1_000n), end: Number(process.hrtime.bigint() / 1_000n), count };
        appendFileSync(join(folder, "phases.jsonl"), `${JSON.stringify(line)}\n`);
        return { entryTotal, count };
    }

    /** Sends requests to all entry processes in turn at the usual rate, and returns their number. */
    async function sendRequests(prefix: string, milliseconds: number): Promise<number> {
        const addresses = entries.map(({ ip }) => `${ip}:${soakPorts.caller}`);
        const client = createSoakClient(addresses, undefined);
        const start = performance.now();
        const pending: Promise<void>[] = [];
        while (performance.now() - start < milliseconds) {
            // Timers are late under load; what is due since the last one is sent together.
            while (pending.length < (performance.now() - start) / requestIntervalMilliseconds) {
                pending.push(sendRequest(client, prefix, pending.length));
            }
            await sleep(1);
        }
        await Promise.all(pending);
        client.stop();
        return pending.length;
    }

    async function sendRequest(client: SoakClient, prefix: string, index: number): Promise<void> {
        const { status, isComplete } = await client.post({
            entryIndex: index % entries.length,
            requestId: `${Date.now()}-${index}`,
            prefix,
            key: "key-stayer",
            promptParts: [`a${index % 5}:500`],
        });
        failedCount += status !== okStatus || !isComplete ? 1 : 0;
    }
}

async function wait(): Promise<number> {
    await sleep(phaseMilliseconds);
    return 0;
}

function getTimes(processes: readonly MeasuredProcess[]): number[] {
    return processes.map(measured => measured.getProcessorMilliseconds());
}

function getSum(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0);
}

async function waitUntilReady({ ip }: MeasuredProcess): Promise<void> {
    const end = performance.now() + readinessTimeoutMilliseconds;
    while (await getReadinessStatus(ip) !== okStatus) {
        if (performance.now() > end) {
            throw new Error(`the entry process at ${ip} does not become ready`);
        }
        await sleep(readinessIntervalMilliseconds);
    }
}

async function getReadinessStatus(ip: string): Promise<number> {
    const response = await request(`http://${ip}:${soakPorts.readiness}/basilwing/ready`).catch(() => undefined);
    await response?.body.dump();
    return response?.statusCode ?? 0;
}
