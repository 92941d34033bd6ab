/*
 * Sends the traffic of a soak on keep-alive connections, and checks each response against the guarantees that the
 * platform's specification requires.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/runtime";
import { EndRecorder } from "./createEndRecorder";
import { createSoakClient, ExchangeOutcome } from "./createSoakClient";
import { SoakLimitChanges } from "./createSoakLimitChanges";
import { getStreamProblem } from "./getStreamProblem";
import { parseSoakEvents } from "./parseSoakEvents";
import { RunTracker } from "./RunTracker";
import { SoakCallers } from "./SoakCallers";
import { soakCrashingPart } from "./soakCrashingPart";
import { soakNotRunStatuses } from "./soakNotRunStatuses";
import { soakRoutes } from "./soakRoutes";

/** Of this many requests, one holds the part that crashes engines. */
const requestsPerCrashingPart = 40;
/** Of this many requests, one is of the isolated workspace. */
const requestsPerIsolatedCaller = 7;
/** Of this many requests, one has a caller that leaves early. */
const requestsPerLeavingCaller = 9;
/** The bounds of the time after which such a caller leaves, in milliseconds. */
const minimumPatienceMilliseconds = 20;
const patienceRangeMilliseconds = 300;
/** How often a caller resumes a stream at most. */
const maximumResumptions = 2;

/** The options of `startSoakCallers`. */
interface SoakCallersOptions {
    /** Where callers reach the entry processes, as `ip:port`. */
    entryAddresses: readonly string[];
    /** Records the requests and the broken guarantees. */
    runTracker: RunTracker;
    /** Chooses the entry process, the route and the key of each request. */
    random: RandomSource;
    /** The pause between two requests, in milliseconds. */
    sendIntervalMilliseconds: number;
    /** Whether some of the requests hold a part that crashes engines. */
    hasCrashingPart: boolean;
    /** Returns whether no unplanned fault affects an entry process or did so a moment ago. */
    isStable(entryIndex: number): boolean;
    /** The limits within which the callers stay, and what records their requests' ends; undefined where limits never change. */
    limited: { endRecorder: EndRecorder; limits: SoakLimitChanges; } | undefined;
}

/** Starts the traffic, which runs until it is stopped. */
export function startSoakCallers(options: SoakCallersOptions): SoakCallers {
    const { entryAddresses, runTracker, random, isStable, limited } = options;
    const client = createSoakClient(
        entryAddresses,
        runTracker,
        limited && { onIdleClose: limited.endRecorder.recordIdleClose },
    );
    const sentRequests: { time: number; isServed: boolean; }[] = [];
    const pending = new Set<Promise<void>>();
    const resumptions = { sent: 0, served: 0 };
    let isStopped = false;
    let count = 0;
    void sendContinuously();
    return {
        getServedCounts: (fromMilliseconds, toMilliseconds) => {
            const within = sentRequests.filter(({ time }) => time >= fromMilliseconds && time < toMilliseconds);
            return { served: within.filter(({ isServed }) => isServed).length, sent: within.length };
        },
        getResumptionCounts: () => resumptions,
        stop: async () => {
            isStopped = true;
            await Promise.all(pending);
            client.stop();
        },
    };

    async function sendContinuously(): Promise<void> {
        while (!isStopped) {
            const exchange = sendAndCheck(random.getInteger(entryAddresses.length)).finally(() =>
                pending.delete(exchange)
            );
            pending.add(exchange);
            await sleep(options.sendIntervalMilliseconds);
        }
    }

    async function sendAndCheck(entryIndex: number): Promise<void> {
        const route = soakRoutes[random.getInteger(soakRoutes.length)]!;
        const isRevocable = random.getInteger(8) === 0;
        count += 1;
        const isCrashing = options.hasCrashingPart && random.getInteger(requestsPerCrashingPart) === 0;
        const requestId = `${Date.now()}-${count}`;
        const isLeaving = count % requestsPerLeavingCaller === 0;
        const record = { time: Date.now(), isServed: false };
        if (!isRevocable && !isCrashing && !isLeaving) {
            sentRequests.push(record);
        }
        if (!route.mayRepeat) {
            runTracker.recordSingleRunRequest(requestId);
        }
        const wasStable = isStable(entryIndex);
        const stayingKey = count % requestsPerIsolatedCaller === 0 ? "key-loner" : "key-stayer";
        const key = isRevocable ? "key-leaver" : stayingKey;
        const promptParts = [`a${count % 5}:500`, ...isCrashing ? [`${soakCrashingPart}:80`] : []];
        const outcome = await client.post({
            entryIndex,
            requestId,
            prefix: route.prefix,
            key: route.isPublic ? undefined : key,
            promptParts,
            leavesAfterMilliseconds: isLeaving
                ? minimumPatienceMilliseconds + count % patienceRangeMilliseconds
                : undefined,
            onLeaving: () => runTracker.recordLeaving(requestId),
        });
        if (soakNotRunStatuses.has(outcome.status)) {
            runTracker.recordReportedNotRun(requestId);
        }
        if ([400, 401, 403, 404].includes(outcome.status) && !isRevocable) {
            runTracker.addBreach(`${requestId} is proper, and got ${outcome.status}`);
        }
        if (!isCrashing && outcome.text.includes("QUARANTINED")) {
            runTracker.addBreach(`${requestId} is sound, and was refused as quarantined`);
        }
        if (outcome.status === 200 && outcome.isComplete) {
            record.isServed = true;
            checkResponse(requestId, outcome);
        }
        if (limited) {
            const sentMilliseconds = record.time;
            const routeMilliseconds = limited.limits.getShortestTimeoutMilliseconds(route.prefix, sentMilliseconds);
            limited.endRecorder.record(
                { requestId, entryIndex, sentMilliseconds, routeMilliseconds, wasStable },
                outcome,
            );
        }
        else if (!isLeaving) {
            checkEnd(requestId, outcome, record.time, wasStable && isStable(entryIndex));
        }
        if (route.isStream && outcome.status === 200 && !isLeaving) {
            await checkStream(requestId, outcome, route.mayRepeat && !isRevocable, promptParts);
        }
    }

    function checkEnd(requestId: string, outcome: ExchangeOutcome, sentMilliseconds: number, isStable: boolean): void {
        const isCut = outcome.status === 0 || !outcome.isComplete;
        const isLate = Date.now() - sentMilliseconds >= client.deadlineMilliseconds;
        if (isCut && !isLate && !runTracker.wasBrokenOff(requestId) && isStable) {
            runTracker.recordCut(requestId, outcome.status);
        }
    }

    function checkResponse(requestId: string, { seal, text }: ExchangeOutcome): void {
        if (seal !== `seal-${requestId}` || !text.includes(requestId)) {
            runTracker.addBreach(`${requestId} got another request's answer`);
        }
    }

    /** Checks a stream, which the caller first resumes at any entry process where it broke off and may be resumed. */
    async function checkStream(
        requestId: string,
        outcome: ExchangeOutcome,
        mayResume: boolean,
        promptParts: readonly string[],
    ): Promise<void> {
        let events = parseSoakEvents(outcome.text);
        let { isComplete } = outcome;
        for (let count = 0; mayResume && !isComplete && events.length > 0 && count < maximumResumptions; count++) {
            const entryIndex = random.getInteger(entryAddresses.length);
            const resumptionId = `${requestId}-${count + 1}`;
            const resumption = await client.post({
                entryIndex,
                requestId: resumptionId,
                prefix: "/label/",
                key: "key-stayer",
                promptParts,
                headers: { "resumes": requestId, "last-event-id": events.at(-1)!.id },
            });
            resumptions.sent += 1;
            resumptions.served += resumption.status === 200 ? 1 : 0;
            if (soakNotRunStatuses.has(resumption.status)) {
                runTracker.recordReportedNotRun(resumptionId);
            }
            if (resumption.status === 200) {
                events = [...events, ...parseSoakEvents(resumption.text)];
                isComplete = resumption.isComplete;
            }
        }
        const problem = getStreamProblem(requestId, events, isComplete);
        if (problem !== undefined) {
            runTracker.addBreach(`${requestId} ${problem}`);
        }
    }
}
