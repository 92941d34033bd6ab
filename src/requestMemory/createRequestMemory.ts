/*
 * Limits the memory that the bodies of requests occupy together. Addresses crowds of large bodies that arrive at the same time
 * and stop short of their end. A body reserves its whole size before it is read beyond its first bytes, so that each one that
 * is read can be read to its end. Others wait without being read. If any waits, bodies without progress are refused.
 */
import { Logger } from "../logging";
import { CounterName, GaugeName, Metrics } from "../metrics";
import { Clock, detach } from "../runtime";
import { BodyAccount } from "./BodyAccount";
import { BodyReader } from "./BodyReader";
import { BodyState } from "./BodyState";
import { getStalledBodies } from "./getStalledBodies";
import { RequestMemory } from "./RequestMemory";

/** Bodies up to this size are small, in bytes: nearly all of those that callers send. */
const smallBodyBytes = 65_536;
/** The share of the memory that is reserved for large bodies at most, so that small ones are served beside them. */
const largeShare = 3 / 4;
/** The share of the memory up to which bodies that wait may occupy some, for what has been read when they begin to wait. */
const excessShare = 7 / 8;
/** How long a body waits for memory, in milliseconds: its caller has time to send the request to another entry process. */
const maximumWaitMilliseconds = 2_000;
/** Responses that have taken this long since their bodies arrived count as long ones, in milliseconds. */
const longResponseMilliseconds = 500;
/** How long nothing of a body may arrive, in milliseconds, also without a shortage; callers pause for seconds at most. */
const maximumPauseMilliseconds = 60_000;
/** Fewer bytes are no progress in a shortage; a client could keep its memory with a byte now and then. */
const minimumProgressBytes = 1_024;
/** Nor is a smaller part of what a body reserves: 16 KB a second for 4 MiB. Slow senders would keep all of the memory. */
const progressShare = 1 / 512;
/** How many bodies that are too large may be discarded at the same time; the connections of others are closed. */
const maximumDiscardCount = 8;
const checkMilliseconds = 250;
/** Log lines about refused bodies are at least this far apart, in milliseconds. */
const logMilliseconds = 1_000;

/** A body with its reader. */
interface Body extends BodyState {
    reader: BodyReader;
    /** The bytes that have arrived since the last progress. */
    newBytes: number;
}

/** The options. */
interface RequestMemoryOptions {
    /** Gets the limit for all bodies together, in bytes. */
    getMaximumBytes(): number;
    /** Lets the event loop read what has arrived, so that a standstill of the process is not taken for one of callers. */
    pollConnections(): Promise<void>;
    /** The clock by which waits and progress are taken. */
    clock: Clock;
    /** Counts refused bodies. */
    metrics: Metrics;
    /** The logger for refused bodies. */
    logger: Logger;
}

/**
 * Creates a memory without bodies.
 * @param options - The limit and the dependencies.
 */
export function createRequestMemory(options: RequestMemoryOptions): RequestMemory {
    const { getMaximumBytes, pollConnections, clock, metrics, logger } = options;
    const bodies = new Set<Body>();
    let totalBytes = 0;
    let incompleteCount = 0;
    let waitingCount = 0;
    let discardCount = 0;
    let isChecking = false;
    /** The connections that were refused since the last check. */
    let refusedConnectionCount = 0;
    let unloggedCount = 0;
    let loggedMilliseconds = -Infinity;
    metrics.addGauge(GaugeName.RequestMemory, () => totalBytes);
    metrics.addGauge(GaugeName.RequestsWaitingForMemory, () => waitingCount);
    return {
        open,
        startDiscarding,
        relieveConnections: () => void (refusedConnectionCount += 1),
        getBytes: () => totalBytes,
        getWaitingCount: () => waitingCount,
    };

    function open(reader: BodyReader): BodyAccount {
        const nowMilliseconds = clock.getMonotonicMilliseconds();
        const body: Body = {
            reader,
            reservedBytes: 0,
            excessBytes: 0,
            requestedBytes: undefined,
            waitingSinceMilliseconds: 0,
            progressMilliseconds: nowMilliseconds,
            arrivalMilliseconds: nowMilliseconds,
            isComplete: false,
            newBytes: 0,
        };
        bodies.add(body);
        incompleteCount += 1;
        if (!isChecking) {
            isChecking = true;
            detach(checkRepeatedly());
        }
        return {
            reserve: bytes => reserve(body, bytes),
            addExcess: (bytes, requestedBytes) => addExcess(body, bytes, requestedBytes),
            recordArrival: bytes => recordArrival(body, bytes),
            complete: bytes => complete(body, bytes),
            close: () => close(body),
        };
    }

    function reserve(body: Body, bytes: number): boolean {
        if (!bodies.has(body)) {
            return false;
        }
        if (fits(body, bytes)) {
            grant(body, bytes);
            return true;
        }
        const nowMilliseconds = clock.getMonotonicMilliseconds();
        if (!fits(body, bytes, totalBytes - getBytes(body) - getLongHeldBytes(nowMilliseconds))) {
            refuse(body, "overloaded");
            return false;
        }
        stopWaiting(body);
        body.requestedBytes = bytes;
        body.waitingSinceMilliseconds = nowMilliseconds;
        waitingCount += 1;
        return false;
    }

    /** Gets what bodies occupy whose responses take long, so that it will hardly be free while another body waits. */
    function getLongHeldBytes(nowMilliseconds: number): number {
        return [...bodies]
            .filter(({ isComplete, arrivalMilliseconds }) =>
                isComplete && nowMilliseconds - arrivalMilliseconds >= longResponseMilliseconds
            )
            .reduce((sum, body) => sum + getBytes(body), 0);
    }

    /** Returns whether there is room for a body, also with what others would free. */
    function fits({ reservedBytes, excessBytes }: Body, bytes: number, freedBytes = 0): boolean {
        const share = bytes <= smallBodyBytes ? 1 : largeShare;
        return totalBytes - freedBytes - reservedBytes - excessBytes + bytes <= share * getMaximumBytes();
    }

    function grant(body: Body, bytes: number): void {
        setBytes(body, bytes, 0);
        stopWaiting(body);
        body.progressMilliseconds = clock.getMonotonicMilliseconds();
        body.arrivalMilliseconds = body.progressMilliseconds;
    }

    function stopWaiting(body: Body): void {
        waitingCount -= body.requestedBytes === undefined ? 0 : 1;
        body.requestedBytes = undefined;
    }

    function setBytes(body: Body, reservedBytes: number, excessBytes: number): void {
        totalBytes += reservedBytes + excessBytes - body.reservedBytes - body.excessBytes;
        body.reservedBytes = reservedBytes;
        body.excessBytes = excessBytes;
    }

    function addExcess(body: Body, bytes: number, requestedBytes: number): boolean {
        if (!bodies.has(body)) {
            return false;
        }
        if (totalBytes + bytes > excessShare * getMaximumBytes()) {
            refuse(body, "overloaded");
            return false;
        }
        setBytes(body, body.reservedBytes, body.excessBytes + bytes);
        if (body.requestedBytes !== undefined) {
            body.requestedBytes = requestedBytes;
        }
        return true;
    }

    function recordArrival(body: Body, bytes: number): void {
        body.arrivalMilliseconds = clock.getMonotonicMilliseconds();
        body.newBytes += bytes;
        if (body.newBytes >= Math.max(minimumProgressBytes, progressShare * body.reservedBytes)) {
            body.newBytes = 0;
            body.progressMilliseconds = body.arrivalMilliseconds;
        }
    }

    function complete(body: Body, bytes: number): void {
        if (bodies.has(body) && !body.isComplete) {
            body.isComplete = true;
            stopWaiting(body);
            incompleteCount -= 1;
            setBytes(body, bytes, 0);
            grantWaiting();
        }
    }

    function close(body: Body): void {
        if (bodies.delete(body)) {
            stopWaiting(body);
            incompleteCount -= body.isComplete ? 0 : 1;
            totalBytes -= body.reservedBytes + body.excessBytes;
            grantWaiting();
        }
    }

    /** Grants what bodies wait for in the order of their arrival, first to small ones. */
    function grantWaiting(): void {
        if (waitingCount === 0) {
            return;
        }
        for (const body of getWaiting()) {
            if (body.requestedBytes !== undefined && fits(body, body.requestedBytes)) {
                grant(body, body.requestedBytes);
                body.reader.grant();
            }
            else if (body.requestedBytes !== undefined && body.requestedBytes > smallBodyBytes) {
                // Later ones that need less would keep this one waiting.
                return;
            }
        }
    }

    function getWaiting(): Body[] {
        const waiting = [...bodies].filter(({ requestedBytes }) => requestedBytes !== undefined);
        const small = waiting.filter(({ requestedBytes }) => requestedBytes! <= smallBodyBytes);
        return [...small, ...waiting.filter(body => !small.includes(body))];
    }

    function refuse(body: Body, reason: "overloaded" | "timedOut"): void {
        unloggedCount += 1;
        metrics.addCount(
            reason === "overloaded" ? CounterName.BodiesRefusedForMemory : CounterName.BodiesTimedOut,
        );
        const nowMilliseconds = clock.getMonotonicMilliseconds();
        if (nowMilliseconds - loggedMilliseconds >= logMilliseconds) {
            logger.info({
                reason,
                refusedCount: unloggedCount,
                bodyBytes: body.reservedBytes + body.excessBytes,
                withoutProgressMilliseconds: Math.round(nowMilliseconds - body.progressMilliseconds),
                waitingCount,
                totalBytes,
                maximumBytes: getMaximumBytes(),
            }, "refused bodies");
            unloggedCount = 0;
            loggedMilliseconds = nowMilliseconds;
        }
        close(body);
        body.reader.refuse(reason);
    }

    function startDiscarding(): (() => void) | undefined {
        if (discardCount >= maximumDiscardCount) {
            return undefined;
        }
        discardCount += 1;
        let hasEnded = false;
        return () => {
            discardCount -= hasEnded ? 0 : 1;
            hasEnded = true;
        };
    }

    /** Checks the bodies as long as any is being read. */
    async function checkRepeatedly(): Promise<void> {
        while (incompleteCount > 0) {
            await clock.sleep(checkMilliseconds);
            await pollConnections();
            check(clock.getMonotonicMilliseconds());
        }
        isChecking = false;
    }

    /**
     * Refuses bodies without progress until those that wait fit; none for one that doesn't fit even then. Small bodies are
     * refused for a large one only if the large ones don't suffice.
     * @param stalled - The bodies without progress, in the order in which they are refused.
     * @returns The number of refused bodies.
     */
    function relieveWaiting(stalled: readonly Body[]): number {
        let refusedCount = 0;
        for (let waiting = getWaiting().at(0); waiting; waiting = getWaiting().at(0)) {
            const { requestedBytes = 0 } = waiting;
            const candidates = stalled.filter(body => bodies.has(body) && getBytes(body) > 0);
            const large = candidates.filter(body => getBytes(body) > smallBodyBytes);
            const chosen = [large, candidates].find(group =>
                fits(waiting!, requestedBytes, group.reduce((sum, body) => sum + getBytes(body), 0))
            );
            const first = chosen?.at(0);
            if (!first) {
                break;
            }
            refuse(first, "overloaded");
            refusedCount += 1;
        }
        return refusedCount;
    }

    function getBytes({ reservedBytes, excessBytes }: Body): number {
        return reservedBytes + excessBytes;
    }

    function check(nowMilliseconds: number): void {
        const stalled = waitingCount > 0 || refusedConnectionCount > 0
            ? getStalledBodies(bodies, nowMilliseconds)
            : [];
        const refusedCount = relieveWaiting(stalled);
        const connectionCount = Math.max(0, refusedConnectionCount - refusedCount);
        stalled.filter(body => bodies.has(body)).slice(0, connectionCount).forEach(body => refuse(body, "overloaded"));
        refusedConnectionCount = 0;
        for (const body of [...bodies]) {
            if (
                body.requestedBytes !== undefined
                && nowMilliseconds - body.waitingSinceMilliseconds >= maximumWaitMilliseconds
            ) {
                refuse(body, "overloaded");
            }
            else if (
                !body.isComplete && body.requestedBytes === undefined
                && nowMilliseconds - body.arrivalMilliseconds >= maximumPauseMilliseconds
            ) {
                refuse(body, "timedOut");
            }
        }
    }
}
