/*
 * Measures the costs and benefits of claims, reruns, the quarantine and planned stops. Prints one line of JSON for each
 * figure: {name, value, unit}.
 *
 * Run: npx tsx scripts/measure/measureClaims.ts
 */
import { create } from "@bufbuild/protobuf";
import { build } from "hdr-histogram-js";
import { createHash } from "node:crypto";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createClaimsPart, defaultClaimBounds } from "../../src/control/claims";
import { LevelSettings } from "../../src/control/configuration";
import { DemoDeployment, startDemoDeployment } from "../../src/demo";
import { ClaimState, Command, CommandSchema } from "../../src/protocol";
import { createTestCluster } from "../../tests/entry/createTestCluster";

const key = "key-for-measuring-0123456789";
const calls = 600;
const burstCalls = 3_000;
const burstConcurrency = 96;
const claimCount = 50_000;
const responseBytes = 200;
const resends = 20;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

function printFigure(name: string, value: number, unit: string): void {
    console.log(JSON.stringify({ name: `claims.${name}`, value: Number(value.toPrecision(4)), unit }));
}

function createLevels(): Map<string, LevelSettings> {
    const keyDigests = [createHash("sha256").update(key).digest("hex")];
    const lockers = [
        { method: "POST", path: "/release", idempotent: false },
        { method: "POST", path: "/publish", idempotent: true },
    ];
    return new Map<string, LevelSettings>([
        ["/", { models: { large: { allowed: true } }, services: { lockers } }],
        ["/regie", {}],
        ["/regie/counter", {}],
        ["/regie/counter/anna", { keyDigests }],
    ]);
}

/** Calls the service once, and returns the time in milliseconds; errors if the status isn't 200. */
async function call(address: string, path: string, number: number): Promise<number> {
    const start = performance.now();
    const response = await fetch(`${address}/services/lockers${path}`, {
        method: "POST",
        headers: { authorization: `Bearer ${key}`, "idempotency-key": `measure-${number}` },
        body: JSON.stringify({ key: `door-${number}` }),
    });
    await response.text();
    if (response.status !== 200) {
        throw new Error(`the call failed with status ${response.status}`);
    }
    return performance.now() - start;
}

/** Makes calls with a given concurrency; returns a histogram of their times in microseconds, and the total seconds. */
async function makeCalls(
    addresses: readonly string[],
    path: string,
    count: number,
    concurrency: number,
    first: number,
) {
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    let next = 0;
    const start = performance.now();
    await Promise.all(Array.from({ length: concurrency }, async () => {
        while (next < count) {
            const number = first + next++;
            const milliseconds = await call(addresses[number % addresses.length]!, path, number);
            histogram.recordValue(Math.round(milliseconds * 1_000));
        }
    }));
    return { histogram, seconds: (performance.now() - start) / 1_000 };
}

async function measureLatency(deployment: DemoDeployment): Promise<void> {
    const addresses = deployment.getCallersAddresses();
    await makeCalls(addresses, "/publish", 100, 8, 0);
    for (const [name, path, first] of [["without", "/publish", 1_000], ["with", "/release", 2_000]] as const) {
        const { histogram } = await makeCalls(addresses, path, calls, 4, first);
        for (const percentile of [50, 95, 99]) {
            const milliseconds = histogram.getValueAtPercentile(percentile) / 1_000;
            printFigure(`call.${name}.p${percentile}`, milliseconds, "ms");
        }
    }
    for (const [name, path, first] of [["without", "/publish", 10_000], ["with", "/release", 20_000]] as const) {
        const { seconds } = await makeCalls(addresses, path, burstCalls, burstConcurrency, first);
        printFigure(`burst.${name}`, burstCalls / seconds, "calls/s");
    }
}

/** Streams completions while an entry process is restarted three times. */
async function measureRestarts(deployment: DemoDeployment): Promise<void> {
    let isDone = false;
    let cut = 0;
    let whole = 0;
    let refused = 0;
    let number = 100_000;
    const load = [...Array(24).keys()].map(async index => {
        while (!isDone) {
            const addresses = deployment.getCallersAddresses();
            const outcome = await stream(addresses[(number++ + index) % addresses.length]!);
            cut += outcome === "cut" ? 1 : 0;
            whole += outcome === "whole" ? 1 : 0;
            refused += outcome === "refused" ? 1 : 0;
        }
    });
    for (let restart = 0; restart < 3; restart++) {
        await deployment.restartEntry();
    }
    isDone = true;
    await Promise.all(load);
    printFigure("restart.whole", whole, "streams");
    printFigure("restart.refusedConnections", refused, "streams");
    printFigure("restart.cut", cut, "streams");
}

async function stream(address: string): Promise<"whole" | "cut" | "refused"> {
    let response: Response;
    try {
        response = await fetch(`${address}/v1/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${key}` },
            body: JSON.stringify({ model: "large", prompt: `file ${Math.random()}`, stream: true, max_tokens: 32 }),
        });
    }
    catch {
        return "refused";
    }
    const text = await response.text().catch(() => "");
    return text.endsWith("data: [DONE]\n\n") ? "whole" : "cut";
}

async function measureDeployment(): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "basilwing-claims-"));
    const deployment = await startDemoDeployment({ folder, levels: createLevels(), seed: 1 });
    await new Promise(resolve => setTimeout(resolve, 1_000));
    await measureLatency(deployment);
    await measureRestarts(deployment);
    await deployment.stop();
    await rm(folder, { recursive: true, force: true });
}

/** Crashes the engine of a stream halfway, in virtual time. */
async function measureRerun(): Promise<void> {
    const times: Record<string, number[]> = { undisturbed: [], continued: [], fromTheStart: [] };
    for (let seed = 1; seed <= 20; seed++) {
        const cluster = createTestCluster(seed, 1, 3, "engine");
        const { clock, sidecars, entries } = cluster;
        const prompt = "epsilon zeta eta";
        await clock.sleep(500);
        const undisturbed = await time(() => entries[0]!.complete(prompt, "first", 60_000));
        const half = undisturbed / 2;
        const continued = await time(async () => {
            const response = entries[0]!.complete(prompt, "second", 60_000);
            await clock.sleep(half);
            sidecars.forEach(({ engine }) => engine.crash());
            return response;
        });
        await clock.sleep(2_000);
        const again = await time(() => entries[0]!.complete(prompt, "third", 60_000));
        times["undisturbed"]!.push(undisturbed);
        times["continued"]!.push(continued);
        times["fromTheStart"]!.push(continued - undisturbed + half + again);
        await cluster.stop();

        async function time(act: () => Promise<unknown>): Promise<number> {
            const start = clock.getMonotonicMilliseconds();
            await act();
            return clock.getMonotonicMilliseconds() - start;
        }
    }
    for (const [name, values] of Object.entries(times)) {
        printFigure(`rerun.${name}`, values.reduce((sum, value) => sum + value, 0) / values.length, "virtual ms");
    }
}

/** Resends a request that crashes its engine, through three entry processes to eight engines. */
async function measureQuarantine(isSamePrompt: boolean): Promise<void> {
    const cluster = createTestCluster(1, 3, 8, "engine");
    await cluster.clock.sleep(500);
    for (let resend = 0; resend < resends; resend++) {
        const prompt = isSamePrompt ? "poison" : `poison ${resend}`;
        await cluster.entries[resend % 3]!.complete(prompt, `request-${resend}`, 60_000);
    }
    const crashes = cluster.sidecars.reduce((sum, { engine }) => sum + engine.getCrashCount(), 0);
    await cluster.stop();
    printFigure(isSamePrompt ? "poison.crashes" : "poison.crashesWithoutMemoryOfResends", crashes, "crashes");
}

/** Fills the claims, and measures the memory and snapshot bytes per claim. */
function measureMemory(): void {
    const part = createClaimsPart();
    const response = { status: 200, headersJson: Buffer.from("[]"), body: Buffer.alloc(responseBytes, 1) };
    let index = 0n;
    collectGarbage();
    const heapBefore = process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers;
    for (let number = 0; number < claimCount; number++) {
        const names = { workspace: "regie", idempotencyKey: `release-of-door-${number}` };
        const bodyDigest = createHash("sha256").update(String(number)).digest();
        const claim = {
            ...names,
            bodyDigest,
            companion: "companion-lockers-1",
            companionAddress: "10.0.0.1:7001",
            companionIncarnation: "0123456789abcdef",
            requestId: `00000000-0000-0000-0000-${number}`,
        };
        const opened = run({ case: "openClaim", value: { claim } });
        run({ case: "settleClaim", value: { ...names, number: opened, state: ClaimState.ANSWERED, answer: response } });
    }
    printCost("answered");
    run({ case: "claimBounds", value: { ...defaultClaimBounds, maximumAnswerBytes: 0n } });
    printCost("keyOnly");

    function run(
        command: Parameters<typeof create<typeof CommandSchema>>[1] extends infer Shape
            ? NonNullable<Shape extends { command?: infer Inner; } ? Inner : never>
            : never,
    ) {
        const message = create(CommandSchema, { command } as never) as Command;
        const result = part.apply(message, { term: 1n, index: ++index, timeMilliseconds: 1 });
        return result?.case === "claim" ? result.value.claim?.number : undefined;
    }

    function printCost(name: string): void {
        collectGarbage();
        const heap = process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers - heapBefore;
        printFigure(`kept.${name}.memory`, heap / claimCount, "bytes");
        printFigure(`kept.${name}.snapshot`, part.takeSnapshot().length / claimCount, "bytes");
    }
}

async function measure(): Promise<void> {
    measureMemory();
    await measureRerun();
    await measureQuarantine(true);
    await measureQuarantine(false);
    await measureDeployment();
}

void measure();
