/*
 * A caller of a soak whose request crashes each backend server that runs it. It comes again and again, each time with a
 * new id, and once more at another entry process where it fails.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/runtime";
import { EndRecorder } from "./createEndRecorder";
import { createSoakClient } from "./createSoakClient";
import { RunTracker } from "./RunTracker";
import { soakCrashingBody } from "./soakCrashingBody";
import { soakNotRunStatuses } from "./soakNotRunStatuses";
import { soakRoutes } from "./soakRoutes";

const sendIntervalMilliseconds = 700;
const resendDelayMilliseconds = 50;

/** The options of `startCrashingCaller`. */
interface CrashingCallerOptions {
    /** Where callers reach the entry processes, as `ip:port`. */
    entryAddresses: readonly string[];
    /** The number of the route to which the request is sent. */
    routeIndex: number;
    /** Records the requests and the broken guarantees. */
    runTracker: RunTracker;
    /** Chooses the entry processes. */
    random: RandomSource;
    /** Records the requests' ends where the caller stays within limits that change; undefined where they don't. */
    endRecorder: EndRecorder | undefined;
}

/**
 * Starts the caller.
 * @param options - The route and what the caller needs.
 * @returns Stops the caller.
 */
export function startCrashingCaller(options: CrashingCallerOptions): () => Promise<void> {
    const { entryAddresses, runTracker, random, endRecorder } = options;
    const route = soakRoutes[options.routeIndex % soakRoutes.length]!;
    const client = createSoakClient(
        entryAddresses,
        runTracker,
        endRecorder && { onIdleClose: endRecorder.recordIdleClose },
    );
    const stopController = new AbortController();
    let count = 0;
    const sending = sendContinuously();
    return async () => {
        stopController.abort();
        await sending;
        client.stop();
    };

    async function sendContinuously(): Promise<void> {
        while (!stopController.signal.aborted) {
            const entryIndex = random.getInteger(entryAddresses.length);
            if (await send(entryIndex) !== 200) {
                await sleep(resendDelayMilliseconds);
                await send((entryIndex + 1) % entryAddresses.length);
            }
            await sleep(sendIntervalMilliseconds);
        }
    }

    async function send(entryIndex: number): Promise<number> {
        count += 1;
        const sentMilliseconds = Date.now();
        const requestId = `${sentMilliseconds}-crash-${count}`;
        const wasStable = runTracker.isStable();
        if (!route.mayRepeat) {
            runTracker.recordSingleRunRequest(requestId);
        }
        const outcome = await client.post({
            entryIndex,
            requestId,
            prefix: route.prefix,
            key: route.isPublic ? undefined : "key-stayer",
            promptParts: ["a0:500"],
            body: soakCrashingBody,
        });
        const { status } = outcome;
        if (status === 0) {
            endRecorder?.record({ requestId, entryIndex, sentMilliseconds, routeMilliseconds: 0, wasStable }, outcome);
        }
        if (soakNotRunStatuses.has(status)) {
            runTracker.recordReportedNotRun(requestId);
        }
        return status;
    }
}
