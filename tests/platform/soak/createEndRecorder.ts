/*
 * Records the requests of a soak that ended without a status or in the middle of their answer, with the reason, and finds
 * those that should not have.
 */
import { ExchangeOutcome } from "./createSoakClient";
import { SoakLimitChanges } from "./createSoakLimitChanges";
import { StandstillMonitor } from "./createStandstillMonitor";
import { RunTracker } from "./RunTracker";
import { SoakConnectionEnd } from "./SoakConnectionEnd";
import { SoakConnectionUse } from "./SoakConnectionUse";
import { SoakEndReason } from "./SoakEndReason";
import { SoakProcess } from "./SoakProcess";
import { SoakProxy } from "./startSoakProxy";

/** How long after its sending and before its end a standstill of the soak may be why a caller has no answer. */
const observedMilliseconds = 300;
/** Shorter standstills leave an answer enough time to arrive, in milliseconds. */
const toleratedStillMilliseconds = 50;

/** A request of which the end is recorded. */
interface RecordedRequest {
    requestId: string;
    entryIndex: number;
    sentMilliseconds: number;
    /** How long its route gave it at least, in milliseconds. */
    routeMilliseconds: number;
    /** Whether the deployment was stable when it was sent. */
    wasStable: boolean;
}

/** Records ends. */
export interface EndRecorder {
    /** Records how a request ended; only those without a whole answer are kept. */
    record(request: RecordedRequest, outcome: ExchangeOutcome): void;
    /** Records that an entry process closed a connection that was idle. */
    recordIdleClose(entryIndex: number, connection: { idleMilliseconds: number; statedMilliseconds: number; }): void;
    /** Gets the number of whole requests without a status and of idle connections that were closed, by reason. */
    getCounts(): Readonly<Record<string, number>>;
    /** Gets the number of requests by the use of their connection, and of those that changes of the document came before. */
    getUseCounts(): Readonly<Record<string, number>>;
    /** Gets what is known of each of them. */
    getTraces(): readonly object[];
}

/** The options of `createEndRecorder`. */
interface EndRecorderOptions {
    /** The entry processes, and the proxies between callers and them, in the same order. */
    entries: readonly SoakProcess[];
    callerProxies: readonly SoakProxy[];
    runTracker: RunTracker;
    standstills: StandstillMonitor;
    limits: SoakLimitChanges;
}

/** Creates an empty record. */
export function createEndRecorder(
    { entries, callerProxies, runTracker, standstills, limits }: EndRecorderOptions,
): EndRecorder {
    const counts: Record<string, number> = {};
    const useCounts: Record<string, number> = {};
    const traces: object[] = [];
    return { record, recordIdleClose, getCounts: () => counts, getUseCounts: () => useCounts, getTraces: () => traces };

    function record(request: RecordedRequest, outcome: ExchangeOutcome): void {
        const { use, idleMilliseconds } = outcome.end;
        const changeCount = limits.getAcknowledgementCount(request.sentMilliseconds - idleMilliseconds);
        count(useCounts, use === SoakConnectionUse.Idle && changeCount > 1 ? `${use} across changes` : use);
        if (outcome.status === 0) {
            recordWithoutStatus(request, outcome);
        }
        else if (!outcome.isComplete) {
            recordIncomplete(request, outcome);
        }
    }

    function recordWithoutStatus(request: RecordedRequest, outcome: ExchangeOutcome): void {
        const { requestId, entryIndex, sentMilliseconds } = request;
        const { end } = outcome;
        const isStable = request.wasStable && runTracker.isStable();
        const isUndisturbed = entries[entryIndex]!.wasRunningSince(sentMilliseconds - end.idleMilliseconds);
        const reason = getReason(entryIndex, end, isUndisturbed);
        const stillMilliseconds = getStillMilliseconds(sentMilliseconds);
        const trace = {
            requestId,
            entry: entries[entryIndex]!.ip,
            ...end,
            reason,
            isStable,
            isUndisturbed,
            stillMilliseconds,
        };
        traces.push(trace);
        if (end.reason === SoakEndReason.CallerLeft) {
            return;
        }
        count(counts, `${reason} ${end.isWhole ? end.use : "not whole"}${isStable ? "" : ", beside a fault"}`);
        if (!isStable || !end.isWhole || reason === SoakEndReason.NeverConnected) {
            return;
        }
        if (end.reason === SoakEndReason.CallerLimit) {
            if (stillMilliseconds < toleratedStillMilliseconds) {
                runTracker.addBreach(`${requestId} got no answer within its caller's time: ${JSON.stringify(trace)}`);
            }
            return;
        }
        if (isUndisturbed && isWithinLimit(end, sentMilliseconds)) {
            runTracker.addBreach(`${requestId} got no answer: ${JSON.stringify(trace)}`);
        }
        else if (!runTracker.wasBrokenOff(requestId)) {
            runTracker.recordCut(requestId, 0);
        }
    }

    /** Returns whether the request reached its connection within the stated time, also where the soak stood still meanwhile. */
    function isWithinLimit(
        { use, idleMilliseconds, statedMilliseconds }: SoakConnectionEnd,
        sentMilliseconds: number,
    ): boolean {
        const startMilliseconds = sentMilliseconds - idleMilliseconds - observedMilliseconds;
        const stillMilliseconds = standstills.getStillMilliseconds(startMilliseconds, Date.now());
        switch (use) {
            case SoakConnectionUse.Fresh:
                return true;
            case SoakConnectionUse.Kept:
            case SoakConnectionUse.Idle:
                return idleMilliseconds + stillMilliseconds < statedMilliseconds;
            case SoakConnectionUse.IdleBeyondStated:
            case SoakConnectionUse.IdleTooLong:
                return false;
        }
    }

    function getReason(entryIndex: number, end: SoakConnectionEnd, isUndisturbed: boolean): SoakEndReason {
        if (end.reason === SoakEndReason.CallerLimit || end.reason === SoakEndReason.CallerLeft) {
            return end.reason;
        }
        if (end.port === undefined || callerProxies[entryIndex]!.wasRefused(end.port)) {
            return SoakEndReason.NeverConnected;
        }
        return isUndisturbed ? end.reason : SoakEndReason.ProcessDisturbed;
    }

    /** Records an answer that ended early, unless its caller, its backend server or its time limit ended it. */
    function recordIncomplete(request: RecordedRequest, { status, end, elapsedMilliseconds }: ExchangeOutcome): void {
        const isByCaller = end.reason === SoakEndReason.CallerLimit || end.reason === SoakEndReason.CallerLeft;
        const isOver = end.remainingMilliseconds <= 0 || elapsedMilliseconds >= request.routeMilliseconds;
        if (isByCaller || isOver || !request.wasStable || !runTracker.isStable()) {
            return;
        }
        if (!runTracker.wasBrokenOff(request.requestId)) {
            traces.push({ ...request, status, elapsedMilliseconds, ...end });
            runTracker.recordCut(request.requestId, status);
        }
    }

    function recordIdleClose(
        entryIndex: number,
        { idleMilliseconds, statedMilliseconds }: { idleMilliseconds: number; statedMilliseconds: number; },
    ): void {
        const startMilliseconds = Date.now() - idleMilliseconds;
        const isUndisturbed = entries[entryIndex]!.wasRunningSince(startMilliseconds);
        if (!isUndisturbed || !runTracker.isStable()) {
            return;
        }
        // The entry process counts from its response, which arrives later where the soak stands still.
        const stillMilliseconds = standstills.getStillMilliseconds(
            startMilliseconds - observedMilliseconds,
            startMilliseconds + observedMilliseconds,
        );
        const isEarly = idleMilliseconds < statedMilliseconds - toleratedStillMilliseconds - stillMilliseconds;
        count(
            counts,
            isEarly ? "closed while idle within the stated limit" : "closed while idle after the stated limit",
        );
        if (isEarly) {
            const trace = {
                entry: entries[entryIndex]!.ip,
                time: Date.now(),
                idleMilliseconds,
                statedMilliseconds,
                stillMilliseconds,
            };
            traces.push(trace);
            runTracker.addBreach(`an idle connection was closed too early: ${JSON.stringify(trace)}`);
        }
    }

    /** Gets for how long the soak stood still around the sending of a request and just before now. */
    function getStillMilliseconds(sentMilliseconds: number): number {
        const now = Date.now();
        const afterSending = Math.min(now - observedMilliseconds, sentMilliseconds + observedMilliseconds);
        return standstills.getStillMilliseconds(sentMilliseconds, afterSending)
            + standstills.getStillMilliseconds(now - observedMilliseconds, now);
    }

    function count(record: Record<string, number>, key: string): void {
        record[key] = (record[key] ?? 0) + 1;
    }
}
