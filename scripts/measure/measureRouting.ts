/*
 * Measures the processor time and memory of routing, queueing and limits. Prints one line of JSON for each figure:
 * `npx tsx --expose-gc scripts/measure/measureRouting.ts`.
 */
import { create } from "@bufbuild/protobuf";
import { createHash } from "node:crypto";
import { createQuotaLeaseClient, createRequestLimiter } from "../../src/limits";
import { Priority, ProcessRecordSchema } from "../../src/protocol";
import { createPlacement, createPrefixChain, createRouteSearch } from "../../src/routing";
import { createRandomSource, createSystemClock } from "../../src/runtime";
import { createPrefixIndex, createRequestScheduler, ScheduledRequest, ScheduleOutcome } from "../../src/sidecar";

const blockBytes = 16_384;
const blocksPerReplica = 168_000;
const clock = createSystemClock();
const scope = { workspace: "workspace", model: "large", version: "1" };

void measureAll();

async function measureAll(): Promise<void> {
    measureChains();
    measurePlacement([8, 190, 1_900]);
    measureIndex();
    measureLimiter();
    await measureQueue();
}

/** Measures the creation of the hash chain for prompts of several lengths. */
function measureChains(): void {
    for (const blockCount of [1, 4, 16, 64]) {
        const prompt = "x".repeat(blockCount * blockBytes);
        const microseconds = getMicroseconds(200, () => createPrefixChain(prompt, scope, blockBytes));
        print(`chain of ${blockCount} pieces`, microseconds, "microseconds");
    }
}

/** Measures a routing decision by number of backend servers, for known prefixes and new ones. */
function measurePlacement(serverCounts: readonly number[]): void {
    const chains = [...Array(4_000).keys()].map(index => [0, 1, 2, 3].map(level => getHash(`${index}/${level}`)));
    for (const servers of serverCounts) {
        const candidates = [...Array(servers).keys()].map(index =>
            create(ProcessRecordSchema, { instanceId: `instance-${index}`, serves: "large" })
        );
        const placement = createPlacement({ clock, random: createRandomSource(1) });
        const decide = (position: number) => {
            const hashes = chains[position]!;
            const request = {
                modelOrService: "large",
                hashes,
                promptTokens: 1,
                requestId: "",
                excluded: new Set<string>(),
            };
            createRouteSearch({ placement, candidates, request }).getNext();
        };
        let position = 0;
        decide(position++);
        const cold = getMicroseconds(3_000, () => decide(position++));
        position = 0;
        const warm = getMicroseconds(3_000, () => decide(position++));
        globalThis.gc?.();
        const before = process.memoryUsage().heapUsed;
        position = 0;
        getMicroseconds(500, () => decide(position++));
        const bytes = (process.memoryUsage().heapUsed - before) / 500;
        print(`routing decision, new prefix, ${servers} backend servers`, cold, "microseconds");
        print(`routing decision, known prefix, ${servers} backend servers`, warm, "microseconds");
        print(`routing decision, known prefix, ${servers} backend servers`, bytes, "bytes allocated");
    }
}

/** Measures the memory of a full index and the processor time of cache events. */
function measureIndex(): void {
    globalThis.gc?.();
    const before = getMemory();
    const index = createPrefixIndex();
    const hashes = [...Array(blocksPerReplica).keys()].map(block => getHash(`piece ${block}`));
    globalThis.gc?.();
    const withHashes = getMemory();
    let number = 1;
    const store = (position: number) =>
        index.addEvent({ number: number++, incarnation: "1", kind: "stored", hashes: [hashes[position]!] });
    const stored = getMicroseconds(blocksPerReplica, () => store(number - 1));
    globalThis.gc?.();
    print(`index of ${index.getSize()} pieces`, (getMemory() - withHashes) / index.getSize(), "bytes a piece");
    print("stored event of one piece, the table growing", stored, "microseconds");
    let position = 0;
    const turnOver = getMicroseconds(50_000, () => {
        const removed = [hashes[position]!];
        index.addEvent({ number: number++, incarnation: "1", kind: "removed", hashes: removed });
        index.addEvent({ number: number++, incarnation: "1", kind: "stored", hashes: removed });
        position++;
    });
    print("cache event at full size", turnOver / 2, "microseconds");
    print("processor time of 1,200 cache events a second", turnOver / 2 * 1_200 / 10_000, "percent of a core");
    const lookUp = getMicroseconds(20_000, () => index.getCachedBlocks(hashes.slice(position, position + 16)));
    print("lookup of a chain of 16 pieces", lookUp, "microseconds");
    print("memory of hashes as text, for comparison", (withHashes - before) / blocksPerReplica, "bytes a piece");
}

/** Measures the admission of a request under three levels with three limits each. */
function measureLimiter(): void {
    const leases = createQuotaLeaseClient({ clock, requestQuota: () => {} });
    const limiter = createRequestLimiter(leases);
    const limits = { requestsPerSecond: 1e9, tokensPerMinute: 1e12, concurrentRequests: 1e9 };
    const levels = [...Array(2_200).keys()].map(workspace =>
        ["", "/team", "/team/subscriber"].map(rest => ({ level: `/workspace-${workspace}${rest}`, limits }))
    );
    for (const name of levels.flat().flatMap(({ level }) => Object.keys(limits).map(kind => `${kind}:${level}`))) {
        leases.addGrant(name, 1e9, 60_000);
    }
    let position = 0;
    const microseconds = getMicroseconds(50_000, () => {
        const decision = limiter.admit(levels[position++ % levels.length]!, 4_000);
        if (decision.kind === "admitted") {
            decision.finish(3_000);
        }
    });
    print("decision on nine limits of three levels", microseconds, "microseconds");
    void leases.stop();
}

/** Measures the cost of queueing a request by queue depth and number of workspaces. */
async function measureQueue(): Promise<void> {
    await measureQueueDepth(2_200, 20_000);
    for (const workspaces of [1, 8, 220, 2_200]) {
        for (const depth of [2_200, 10_000]) {
            const microseconds = await measureQueueDepth(workspaces, depth);
            print(`request through a queue of ${depth}, ${workspaces} workspaces`, microseconds, "microseconds");
        }
    }
}

/** Fills and empties a queue; returns the processor time per request in microseconds. */
async function measureQueueDepth(workspaces: number, depth: number): Promise<number> {
    const scheduler = createRequestScheduler({
        clock,
        maximumRunning: 1,
        maximumQueued: 1_000_000,
        prefillTokensPerSecond: 1e9,
        blockTokens: 4_096,
    });
    const started: Extract<ScheduleOutcome, { kind: "started"; }>[] = [];
    const schedule = (position: number) =>
        void scheduler.schedule(createRequest(position % workspaces), new AbortController().signal)
            .then(outcome => outcome.kind === "started" && started.push(outcome));
    const begin = process.cpuUsage();
    [...Array(depth).keys()].forEach(schedule);
    await new Promise(setImmediate);
    while (started.length > 0) {
        const { slot } = started.pop()!;
        slot.recordFirstToken();
        slot.release({ promptTokens: 100, cachedTokens: 0, completionTokens: 1 });
        await runPendingContinuations();
    }
    const { user, system } = process.cpuUsage(begin);
    return (user + system) / depth;
}

/** Waits until the continuations that follow from a release have run. */
async function runPendingContinuations(): Promise<void> {
    for (let turn = 0; turn < 4; turn++) {
        await Promise.resolve();
    }
}

function createRequest(workspace: number): ScheduledRequest {
    return {
        requestId: "",
        workspace: `workspace-${workspace}`,
        subscriber: `/workspace-${workspace}/team/subscriber`,
        workspaceShareWeight: 1,
        subscriberShareWeight: 1,
        priority: Priority.INTERACTIVE,
        deadlineMilliseconds: clock.getMonotonicMilliseconds() + 600_000,
        prefixHashes: [],
        promptTokens: 100,
        maximumOutputTokens: 10,
        mayRedirect: false,
        runAlone: false,
    };
}

function getMemory(): number {
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}

function getHash(text: string): string {
    return createHash("sha256").update(text).digest("hex").slice(0, 32);
}

function getMicroseconds(count: number, run: () => void): number {
    const begin = process.cpuUsage();
    for (let index = 0; index < count; index++) {
        run();
    }
    const { user, system } = process.cpuUsage(begin);
    return (user + system) / count;
}

function print(name: string, value: number, unit: string): void {
    console.log(JSON.stringify({ name, value: Math.round(value * 100) / 100, unit }));
}
