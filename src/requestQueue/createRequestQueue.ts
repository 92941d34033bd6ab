/*
 * Starts requests in the time that the event loop has to spare. The sockets in which requests wait show neither their age
 * nor whether their callers have left, so an overloaded process that started each request as it is read would work for
 * callers that have left, and the more the longer they wait. Here, connections are accepted and requests are read before
 * others are started, one in each turn of the event loop. A request is started only after a turn in which the end of its
 * connection would have been read.
 *
 * Where the routing document distinguishes requests, each workspace that waits has an equal share of the starts, and within a
 * workspace the most urgent requests are first. A request that could not be started in time behind those is refused at its
 * arrival, so that the queue stays short. Otherwise, while requests wait longer than usual, the latest is started first,
 * since its caller has the most time left. A request that has waited for a third of its caller's time is refused, so that
 * the caller can retry at another entry process.
 */
import { createReturnSpread } from "../limits";
import { ContentionReason, TaskName } from "../metrics";
import { startTask } from "../supervision";
import { createStartRate } from "./createStartRate";
import { createStarvationTimes } from "./createStarvationTimes";
import { createWorkspaceShares } from "./createWorkspaceShares";
import { findOvertaken } from "./findOvertaken";
import { getMaximumWait } from "./getMaximumWait";
import { getPriority } from "./getPriority";
import { getWorkAhead } from "./getWorkAhead";
import { getWorkspace } from "./getWorkspace";
import { isOverShare } from "./isOverShare";
import { QueueDemand } from "./QueueDemand";
import { QueuedRequest } from "./QueuedRequest";
import { QueueRefusal } from "./QueueRefusal";
import { RequestQueue } from "./RequestQueue";
import { RequestQueueOptions } from "./RequestQueueOptions";
import { WaitingRequest } from "./WaitingRequest";

/** How long accepting connections may delay the start of requests, in milliseconds. */
const maximumAcceptMilliseconds = 25;
/** The number of turns after which the end of a request's connection has been read, had it come with the request. */
const turnsBeforeStart = 2;
/** The wait from which the latest request is started first, in milliseconds: longer than bursts of connections take. */
const overloadMilliseconds = 100;
/** The maximum number of requests that wait; their bodies are held in memory. */
const maximumLength = 1_024;
/** The bounds of the delay after which a refused caller may retry, in milliseconds. */
const minimumRetryAfterMilliseconds = 100;
const maximumRetryAfterMilliseconds = 1_000;
/** The share of its objective for which a distinguished request may be expected to wait; the backend server needs the rest. */
const waitShareOfTarget = 0.5;
/** How often the requests that wait are compared with their limits, in milliseconds: the comparison looks at all of them. */
const recheckMilliseconds = 25;

/**
 * Creates the queue of an entry process.
 * @param options - The event loop, the clock and the other dependencies.
 */
export function createRequestQueue(options: RequestQueueOptions): RequestQueue {
    const { waitForTurn, clock } = options;
    /** The requests that wait, the oldest one first. */
    const waiting: WaitingRequest[] = [];
    let turn = 0;
    let isRunning = false;
    let hasAccepted = false;
    /** Since when connections are accepted without a start, on the monotonic clock, in milliseconds. */
    let acceptStartMilliseconds: number | undefined;
    let recheckedMilliseconds = -Infinity;
    const rate = createStartRate(clock);
    const shares = createWorkspaceShares();
    const starvation = createStarvationTimes(clock);
    const spreadReturns = createReturnSpread();
    return {
        add,
        getArrivalRefusal,
        recordConnection: () => hasAccepted = true,
        getLength: () => waiting.length,
    };

    function add(request: QueuedRequest): void {
        const refusal = getArrivalRefusal(request);
        if (refusal) {
            request.refuse(refusal.retryAfterMilliseconds, refusal);
            return;
        }
        const addedMilliseconds = clock.getMonotonicMilliseconds();
        waiting.push({ request, addedMilliseconds, firstTurn: turn + turnsBeforeStart });
        starvation.recordAdded(request);
        if (waiting.length > maximumLength) {
            refuse(take(getDispensableIndex()), ContentionReason.QueueFull);
        }
        if (!isRunning) {
            isRunning = true;
            hasAccepted = false;
            rate.recordIdle();
            startTask(TaskName.RequestQueue, run, options);
        }
    }

    /** Starts requests until none waits. */
    async function run(): Promise<void> {
        while (waiting.length > 0) {
            await waitForTurn();
            turn += 1;
            removeEnded();
            refuseOvertaken();
            if (!isAccepting()) {
                startNext();
            }
        }
        shares.reset();
        isRunning = false;
    }

    function getArrivalRefusal(demand: QueueDemand): QueueRefusal | undefined {
        if (!demand.requestClass || !rate.isKnown() || !isOverloaded()) {
            return undefined;
        }
        const targetMilliseconds = Math.max(
            overloadMilliseconds,
            waitShareOfTarget * demand.requestClass.targetLatencyMilliseconds,
        );
        const work = getWorkAhead(demand, waiting.map(({ request }) => request));
        const estimatedMilliseconds = Math.max(
            work * (rate.getIntervalMilliseconds() ?? 0),
            starvation.getMilliseconds(demand),
        );
        return estimatedMilliseconds > Math.min(targetMilliseconds, getMaximumWait(demand))
            ? getRefusal(demand, ContentionReason.QueueTooLong, estimatedMilliseconds)
            : undefined;
    }

    /** Refuses the distinguished requests that others have overtaken so that they can't be started in time any more. */
    function refuseOvertaken(): void {
        const nowMilliseconds = clock.getMonotonicMilliseconds();
        if (nowMilliseconds - recheckedMilliseconds < recheckMilliseconds || !rate.isKnown() || !isOverloaded()) {
            return;
        }
        recheckedMilliseconds = nowMilliseconds;
        const intervalMilliseconds = rate.getIntervalMilliseconds() ?? 0;
        for (const { item, estimatedMilliseconds } of findOvertaken(waiting, nowMilliseconds, intervalMilliseconds)) {
            refuse(take(waiting.indexOf(item)), ContentionReason.Overtaken, estimatedMilliseconds);
        }
    }

    /** Removes the requests whose callers have left, and refuses those that have waited for too long. */
    function removeEnded(): void {
        const nowMilliseconds = clock.getMonotonicMilliseconds();
        let index = 0;
        while (index < waiting.length) {
            const item = waiting[index]!;
            const { request } = item;
            const hasLeft = request.signal.aborted;
            if (!hasLeft && !isExpired(item, nowMilliseconds)) {
                index += 1;
                continue;
            }
            // Removed first: a request whose refusal fails must not hold up the others.
            take(index);
            if (hasLeft) {
                request.drop();
            }
            else {
                refuse(request, ContentionReason.WaitedTooLong);
            }
        }
    }

    /** Returns whether more connections may wait to be accepted, which come first for a limited time. */
    function isAccepting(): boolean {
        if (!hasAccepted) {
            acceptStartMilliseconds = undefined;
            return false;
        }
        hasAccepted = false;
        const nowMilliseconds = clock.getMonotonicMilliseconds();
        acceptStartMilliseconds ??= nowMilliseconds;
        if (nowMilliseconds - acceptStartMilliseconds < maximumAcceptMilliseconds) {
            return true;
        }
        acceptStartMilliseconds = undefined;
        return false;
    }

    function startNext(): void {
        const index = getNextIndex();
        if (index < 0) {
            return;
        }
        starvation.recordStart(waiting[index]!.request);
        const request = take(index);
        rate.recordStart(request.work ?? 1);
        shares.recordStart(request);
        request.start();
    }

    /** Removes a request from the queue. */
    function take(index: number): QueuedRequest {
        const [{ request }] = waiting.splice(index, 1) as [WaitingRequest];
        const workspace = getWorkspace(request);
        if (!waiting.some(({ request: other }) => getWorkspace(other) === workspace)) {
            starvation.recordEmpty(workspace);
        }
        return request;
    }

    /** Gets the index of the request that is started next; negative where none may be started yet. */
    function getNextIndex(): number {
        const isStartable = ({ firstTurn }: WaitingRequest) => firstTurn <= turn;
        const startable = waiting.filter(isStartable).map(({ request }) => request);
        if (!startable.some(({ requestClass }) => requestClass)) {
            return isOverloaded() ? waiting.findLastIndex(isStartable) : waiting.findIndex(isStartable);
        }
        const workspace = shares.choose(startable);
        const candidates = startable.filter(request => getWorkspace(request) === workspace);
        const priority = Math.min(...candidates.map(getPriority));
        const next = candidates.find(request => getPriority(request) === priority);
        return waiting.findIndex(({ request }) => request === next);
    }

    /** Returns whether the oldest request has waited for longer than usual. */
    function isOverloaded(): boolean {
        const nowMilliseconds = clock.getMonotonicMilliseconds();
        return nowMilliseconds - (waiting[0]?.addedMilliseconds ?? nowMilliseconds) > overloadMilliseconds;
    }

    /**
     * Gets the index of the request that a full queue does without: the latest of the least urgent ones of the workspace with
     * the most of them, or the oldest where requests are not distinguished.
     */
    function getDispensableIndex(): number {
        const requests = waiting.map(({ request }) => request);
        if (!requests.some(({ requestClass }) => requestClass)) {
            return 0;
        }
        const counts = new Map<string, number>();
        requests.map(getWorkspace).forEach(workspace => counts.set(workspace, (counts.get(workspace) ?? 0) + 1));
        const [[largest]] = [...counts].sort(([, left], [, right]) => right - left) as [[string, number]];
        const candidates = requests.filter(request => getWorkspace(request) === largest);
        const priority = Math.max(...candidates.map(getPriority));
        return requests.indexOf(candidates.findLast(request => getPriority(request) === priority)!);
    }

    function refuse(request: QueuedRequest, reason: ContentionReason, estimatedMilliseconds?: number): void {
        const refusal = getRefusal(request, reason, estimatedMilliseconds);
        request.refuse(refusal.retryAfterMilliseconds, refusal);
    }

    function getRefusal(
        demand: QueueDemand,
        reason: ContentionReason,
        estimatedMilliseconds: number | undefined,
    ): QueueRefusal {
        return {
            reason,
            retryAfterMilliseconds: getRetryAfterMilliseconds(demand),
            estimatedMilliseconds,
            intervalMilliseconds: rate.getIntervalMilliseconds(),
            intervalAgeMilliseconds: rate.getAgeMilliseconds(),
            isOverShare: isOverShare(demand, waiting.map(({ request }) => request)),
        };
    }

    /** Estimates the time in which the process can start the requests that wait, and spreads distinguished callers over it. */
    function getRetryAfterMilliseconds({ requestClass }: QueueDemand): number {
        const milliseconds = waiting.length * (rate.getIntervalMilliseconds() ?? 0);
        const boundedMilliseconds = Math.min(
            Math.max(milliseconds, minimumRetryAfterMilliseconds),
            maximumRetryAfterMilliseconds,
        );
        return requestClass
            ? spreadReturns(minimumRetryAfterMilliseconds, boundedMilliseconds)
            : boundedMilliseconds;
    }
}

function isExpired({ request, addedMilliseconds }: WaitingRequest, nowMilliseconds: number): boolean {
    return nowMilliseconds - addedMilliseconds > getMaximumWait(request);
}
