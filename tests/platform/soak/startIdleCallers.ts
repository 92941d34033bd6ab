/*
 * Callers of a soak whose connections are idle for long between whole requests: for a part of the limit that the last
 * response stated, for exactly four fifths of it, or for four fifths of the limit in force where it is longer.
 */
import { setMaxListeners } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/runtime";
import { EndRecorder } from "./createEndRecorder";
import { createSoakClient, ExchangeOutcome } from "./createSoakClient";
import { SoakLimitChanges } from "./createSoakLimitChanges";
import { RunTracker } from "./RunTracker";
import { soakNotRunStatuses } from "./soakNotRunStatuses";
import { soakRoutes } from "./soakRoutes";

/** How many such callers there are, at least. */
const callerCount = 48;
/** The largest idle share of the limit, and the least that is chosen. */
const maximumShare = 0.8;
const minimumShare = 0.3;
/** The pause of a caller without a connection that it may reuse, in milliseconds. */
const pauseMilliseconds = 500;
/** The maximum number of bytes by which a body is longer than it must be; within any limit of the soak. */
const maximumPaddingBytes = 3_000;

/** The options of `startIdleCallers`. */
interface IdleCallersOptions {
    /** Where callers reach the entry processes, as `ip:port`. */
    entryAddresses: readonly string[];
    /** Records the requests and the broken guarantees. */
    runTracker: RunTracker;
    /** Records the requests that end without a status. */
    endRecorder: EndRecorder;
    /** The limits in force. */
    limits: SoakLimitChanges;
    /** Chooses the routes and the idle times. */
    random: RandomSource;
}

/**
 * Starts the callers.
 * @param options - The entry processes and what the callers need.
 * @returns Stops the callers, and waits for the pending responses.
 */
export function startIdleCallers(options: IdleCallersOptions): () => Promise<void> {
    const { entryAddresses, runTracker, endRecorder, limits, random } = options;
    const stopController = new AbortController();
    const callersPerEntry = Math.ceil(callerCount / entryAddresses.length);
    setMaxListeners(callersPerEntry * entryAddresses.length, stopController.signal);
    let count = 0;
    const callers = entryAddresses.flatMap((...[address, entryIndex]) =>
        Array.from({ length: callersPerEntry }, () => call(address, entryIndex))
    );
    return async () => {
        stopController.abort();
        await Promise.all(callers);
    };

    async function call(address: string, entryIndex: number): Promise<void> {
        const client = createSoakClient([address], runTracker, {
            getIdleTimeoutMilliseconds: limits.getIdleTimeoutMilliseconds,
            onIdleClose: (...[, connection]) => endRecorder.recordIdleClose(entryIndex, connection),
        });
        while (!stopController.signal.aborted) {
            const { end: { statedMilliseconds } } = await send(client, entryIndex);
            await sleep(pickIdleMilliseconds(statedMilliseconds), undefined, { signal: stopController.signal })
                .catch(() => undefined);
        }
        client.stop();
    }

    function pickIdleMilliseconds(statedMilliseconds: number): number {
        const inForceMilliseconds = Math.max(statedMilliseconds, limits.getIdleTimeoutMilliseconds());
        const choices = [
            statedMilliseconds * (minimumShare + random.getFraction() * (maximumShare - minimumShare)),
            statedMilliseconds * maximumShare,
            inForceMilliseconds * maximumShare,
        ];
        const idleMilliseconds = choices[random.getInteger(choices.length)]!;
        return statedMilliseconds === 0 ? pauseMilliseconds : Math.floor(idleMilliseconds);
    }

    async function send(client: ReturnType<typeof createSoakClient>, entryIndex: number): Promise<ExchangeOutcome> {
        const route = soakRoutes[random.getInteger(soakRoutes.length)]!;
        count += 1;
        const sentMilliseconds = Date.now();
        const requestId = `${sentMilliseconds}-idle-${count}`;
        if (!route.mayRepeat) {
            runTracker.recordSingleRunRequest(requestId);
        }
        const wasStable = runTracker.isStable();
        const outcome = await client.post({
            entryIndex: 0,
            requestId,
            prefix: route.prefix,
            key: route.isPublic ? undefined : "key-stayer",
            promptParts: [`a${count % 5}:500`],
            body: JSON.stringify({ requestId, padding: "p".repeat(random.getInteger(maximumPaddingBytes)) }),
        });
        if (soakNotRunStatuses.has(outcome.status)) {
            runTracker.recordReportedNotRun(requestId);
        }
        if ([400, 401, 403, 404, 413].includes(outcome.status)) {
            runTracker.addBreach(`${requestId} is proper, and got ${outcome.status}`);
        }
        const routeMilliseconds = limits.getShortestTimeoutMilliseconds(route.prefix, sentMilliseconds);
        endRecorder.record({ requestId, entryIndex, sentMilliseconds, routeMilliseconds, wasStable }, outcome);
        return outcome;
    }
}
