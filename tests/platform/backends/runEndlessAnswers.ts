/*
 * A process that sends requests to a faulty backend server and reads the answers, and prints how much memory that took and for
 * how long its event loop stood still. Arguments: the server's address, and the number of requests.
 */
import { setMaxListeners } from "node:events";
import { readFileSync } from "node:fs";
import { createBackendLink } from "../../../platform/backends";
import { collectBody } from "../../../src/forwarding/collectBody";
import { createTestInstance } from "../../feed/createTestFeed";
import { createTestRequest } from "../../forwarding/createTestRequest";

const durationMilliseconds = 4_000;
const bytesPerMegabyte = 1_048_576;
const nanosecondsPerMillisecond = 1_000_000;

const [address = "", requestCount = "1"] = process.argv.slice(2);
const link = createBackendLink();
const timeout = new AbortController();
const { signal } = timeout;
setTimeout(() => timeout.abort(), durationMilliseconds).unref();
setMaxListeners(0, signal);
let peakBytes = 0;
let longestMilliseconds = 0;
let isRunning = true;

void run();

async function run(): Promise<void> {
    global.gc?.();
    const startBytes = process.memoryUsage.rss();
    observeTurns(getProcessorMilliseconds());
    await Promise.all(Array.from({ length: Number(requestCount) }, send));
    isRunning = false;
    await link.stop();
    process.stdout.write(JSON.stringify({
        growthMegabytes: Math.round((Math.max(peakBytes, startBytes) - startBytes) / bytesPerMegabyte),
        longestMilliseconds: Math.round(longestMilliseconds),
    }));
    process.exit(0);
}

async function send(): Promise<void> {
    const requestId = "request-1";
    const result = await link.send({
        request: createTestRequest({
            requestId,
            headers: ["Host", "one.example", "Basilwing-Request-Id", requestId],
        }),
        instance: createTestInstance({ address }),
        maximumConnections: Number(requestCount),
        workspace: "alpha",
        remainingMilliseconds: durationMilliseconds,
        priority: 0,
        cache: { kind: "private", salt: "salt" },
        lastEventId: undefined,
        signal,
        goneSignal: new AbortController().signal,
        onActivity: () => undefined,
    });
    if (result.kind === "answered") {
        await collectBody(result);
    }
}

/** Records the processor time of each turn of the event loop, which doesn't depend on other processes. */
function observeTurns(turnStartMilliseconds: number): void {
    setImmediate(() => {
        const now = getProcessorMilliseconds();
        longestMilliseconds = Math.max(longestMilliseconds, now - turnStartMilliseconds);
        peakBytes = Math.max(peakBytes, process.memoryUsage.rss());
        if (isRunning) {
            observeTurns(now);
        }
    });
}

/** Gets the processor time of the main thread, in milliseconds. */
function getProcessorMilliseconds(): number {
    const [nanoseconds = ""] = readFileSync(`/proc/self/task/${process.pid}/schedstat`, "utf8").split(" ");
    return Number(nanoseconds) / nanosecondsPerMillisecond;
}
