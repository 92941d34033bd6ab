/*
 * Measures the cost of the path through one entry process and one sidecar compared with calling the engine directly:
 * added time to the first token, and processor time per request and token. Each part runs in a separate process. Run it
 * with `npx tsx scripts/measure/path/measurePath.ts`.
 */
import { create } from "@bufbuild/protobuf";
import { ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { join } from "node:path";
import { BackendKind, ProcessRecordSchema, ProcessRole, ProcessState } from "../../../src/protocol";
import { startEngineStandIn } from "../../../src/standIns";
import { printFigure } from "../printFigure";
import { ProcessPart } from "./ProcessPart";
import { LoadResult, runLoad } from "./runLoad";

const requestsPerSecond = 30;
const seconds = 10;
const warmUpSeconds = 3;
const shortTokens = 16;
const mediumTokens = 208;
const longTokens = 416;
const microsecondsPerSecond = 1_000_000;

interface LoadMeasurement {
    entrySeconds: number;
    sidecarSeconds: number;
    result: LoadResult;
}

async function startProcess(part: ProcessPart): Promise<{ child: ChildProcess; address: string; }> {
    const child = fork(join(__dirname, "runProcessPart.ts"), {
        execArgv: ["--require", "tsx/cjs"],
        serialization: "advanced",
    });
    child.send(part);
    const [address] = await once(child, "message") as [string];
    return { child, address };
}

/** Gets the processor time that a process has used so far, in seconds. */
async function getProcessorSeconds(child: ChildProcess): Promise<number> {
    child.send("usage");
    const [usage] = await once(child, "message") as [NodeJS.CpuUsage];
    return (usage.user + usage.system) / microsecondsPerSecond;
}

async function measure(): Promise<void> {
    const engine = await startEngineStandIn({ maximumBatchSize: 1_024, decodeStepMillisecondsPerRequest: 0 });
    const sidecar = await startProcess({ kind: "sidecar", engineAddress: engine.address });
    const record = create(ProcessRecordSchema, {
        instanceId: "engine-1",
        incarnation: "engine-1-companion",
        role: ProcessRole.COMPANION,
        state: ProcessState.READY,
        address: sidecar.address,
        backendKind: BackendKind.ENGINE,
        serves: "large",
        version: "1",
        recordNumber: 1n,
    });
    const entry = await startProcess({ kind: "entry", sidecar: record });
    await runLoad({ address: entry.address, requestsPerSecond, maximumTokens: longTokens, seconds: warmUpSeconds });
    const short = await measurePath(shortTokens);
    const medium = await measurePath(mediumTokens);
    const long = await measurePath(longTokens);
    [short, medium, long].forEach(printProcessorTime);
    const direct = await runLoad({ address: engine.address, requestsPerSecond, maximumTokens: longTokens, seconds });
    printLoad("direct", direct);
    printLoad("path", long.result);
    printFigure("path.firstToken.added", long.result.firstToken.p50 - direct.firstToken.p50, "ms at the median");
    const added = long.result.firstToken.p50 - direct.firstToken.p50;
    console.log(`added to the first token at the median: ${added.toFixed(1)} ms`);
    printSlopes("entry", short, long, part => part.entrySeconds);
    printSlopes("companion", short, long, part => part.sidecarSeconds);
    entry.child.disconnect();
    sidecar.child.disconnect();
    await engine.stop();

    async function measurePath(maximumTokens: number): Promise<LoadMeasurement> {
        const [entryBefore, sidecarBefore] = await getProcessorTimes();
        const result = await runLoad({ address: entry.address, requestsPerSecond, maximumTokens, seconds });
        const [entryAfter, sidecarAfter] = await getProcessorTimes();
        return {
            entrySeconds: entryAfter - entryBefore,
            sidecarSeconds: sidecarAfter - sidecarBefore,
            result,
        };
    }

    function getProcessorTimes(): Promise<[number, number]> {
        return Promise.all([getProcessorSeconds(entry.child), getProcessorSeconds(sidecar.child)]);
    }
}

function printLoad(name: string, result: LoadResult): void {
    const { failed, firstToken, requests, tokensPerSecond } = result;
    const times = `p50 ${firstToken.p50} ms, p99 ${firstToken.p99} ms`;
    console.log(`${name}: ${requests} requests, ${failed} failed, ${Math.round(tokensPerSecond)} tokens/s, ${times}`);
}

/** Prints the processor time per request at one response length. */
function printProcessorTime(part: LoadMeasurement): void {
    const { requests, tokens } = part.result;
    const length = Math.round(tokens / requests);
    printFigure(`path.${length}.tokensPerSecond`, tokens / seconds, "tokens/s");
    printFigure(`path.entry.${length}.perRequest`, part.entrySeconds / requests * microsecondsPerSecond, "us/request");
    printFigure(
        `path.companion.${length}.perRequest`,
        part.sidecarSeconds / requests * microsecondsPerSecond,
        "us/request",
    );
}

/** Prints the processor time per request and per token, from a run with short responses and one with long ones. */
function printSlopes(
    name: string,
    short: LoadMeasurement,
    long: LoadMeasurement,
    getSeconds: (part: LoadMeasurement) => number,
): void {
    const perToken = (getSeconds(long) - getSeconds(short)) / (long.result.tokens - short.result.tokens);
    const perRequest = (getSeconds(short) - perToken * short.result.tokens) / short.result.requests;
    console.log(
        `${name}: ${(perRequest * microsecondsPerSecond).toFixed(0)} us a request, ${
            (perToken * microsecondsPerSecond).toFixed(1)
        } us a `
            + `token, ${(getSeconds(long) / seconds).toFixed(2)} cores at this load`,
    );
}

void measure();
