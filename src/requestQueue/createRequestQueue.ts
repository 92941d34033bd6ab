/*
 * Starts requests in the time that the event loop has to spare. The sockets in which requests wait show neither their age
 * nor whether their callers have left, so an overloaded process that started each request as it is read would work for
 * callers that have left, and the more the longer they wait. Here, connections are accepted and requests are read before
 * others are started, one in each turn of the event loop. A request is started only after a turn in which the end of its
 * connection would have been read.
 *
 * While requests wait longer than usual, the latest is started first, since its caller has the most time left. A request
 * that has waited for a third of its caller's time is refused, so that the caller can retry at another entry process.
 */
import { TaskName } from "../metrics";
import { startTask } from "../supervision";
import { QueuedRequest } from "./QueuedRequest";
import { RequestQueue } from "./RequestQueue";
import { RequestQueueOptions } from "./RequestQueueOptions";

/** How long accepting connections may delay the start of requests, in milliseconds. */
const maximumAcceptMilliseconds = 25;
/** The number of turns after which the end of a request's connection has been read, had it come with the request. */
const turnsBeforeStart = 2;
/** The wait from which the latest request is started first, in milliseconds: longer than bursts of connections take. */
const overloadMilliseconds = 100;
/** The share of its caller's time for which a request waits. */
const waitShareOfCallerTime = 0.33;
/** The maximum wait of a request that states no time, in milliseconds. */
const maximumWaitMilliseconds = 5_000;
/** The maximum number of requests that wait; their bodies are held in memory. */
const maximumLength = 1_024;
/** The bounds of the delay after which a refused caller may retry, in milliseconds. */
const minimumRetryAfterMilliseconds = 100;
const maximumRetryAfterMilliseconds = 1_000;
/** The weight of the last interval in the mean interval between starts. */
const intervalWeight = 0.1;

/** A request with the times that decide when it is started. */
interface WaitingRequest {
    request: QueuedRequest;
    /** When it was added, on the monotonic clock, in milliseconds. */
    addedMilliseconds: number;
    /** The first turn in which it may be started. */
    firstTurn: number;
}

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
    let lastStartMilliseconds: number | undefined;
    let meanIntervalMilliseconds: number | undefined;
    return { add, recordConnection: () => hasAccepted = true, getLength: () => waiting.length };

    function add(request: QueuedRequest): void {
        const addedMilliseconds = clock.getMonotonicMilliseconds();
        waiting.push({ request, addedMilliseconds, firstTurn: turn + turnsBeforeStart });
        if (waiting.length > maximumLength) {
            waiting.shift()!.request.refuse(getRetryAfterMilliseconds());
        }
        if (!isRunning) {
            isRunning = true;
            hasAccepted = false;
            lastStartMilliseconds = undefined;
            startTask(TaskName.RequestQueue, run, options);
        }
    }

    /** Starts requests until none waits. */
    async function run(): Promise<void> {
        while (waiting.length > 0) {
            await waitForTurn();
            turn += 1;
            removeEnded();
            if (!isAccepting()) {
                startNext();
            }
        }
        isRunning = false;
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
            waiting.splice(index, 1);
            if (hasLeft) {
                request.drop();
            }
            else {
                request.refuse(getRetryAfterMilliseconds());
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
        const nowMilliseconds = clock.getMonotonicMilliseconds();
        const isOverloaded =
            nowMilliseconds - (waiting[0]?.addedMilliseconds ?? nowMilliseconds) > overloadMilliseconds;
        const isStartable = ({ firstTurn }: WaitingRequest) => firstTurn <= turn;
        const index = isOverloaded ? waiting.findLastIndex(isStartable) : waiting.findIndex(isStartable);
        if (index < 0) {
            return;
        }
        const [{ request }] = waiting.splice(index, 1) as [WaitingRequest];
        recordStart(nowMilliseconds);
        request.start();
    }

    function recordStart(nowMilliseconds: number): void {
        if (lastStartMilliseconds !== undefined) {
            const intervalMilliseconds = nowMilliseconds - lastStartMilliseconds;
            meanIntervalMilliseconds ??= intervalMilliseconds;
            meanIntervalMilliseconds += intervalWeight * (intervalMilliseconds - meanIntervalMilliseconds);
        }
        lastStartMilliseconds = nowMilliseconds;
    }

    /** Estimates the time in which the process can start the requests that wait. */
    function getRetryAfterMilliseconds(): number {
        const milliseconds = waiting.length * (meanIntervalMilliseconds ?? 0);
        return Math.min(Math.max(milliseconds, minimumRetryAfterMilliseconds), maximumRetryAfterMilliseconds);
    }
}

function isExpired({ request, addedMilliseconds }: WaitingRequest, nowMilliseconds: number): boolean {
    const { callerMilliseconds = Infinity } = request;
    const limitMilliseconds = Math.min(waitShareOfCallerTime * callerMilliseconds, maximumWaitMilliseconds);
    return nowMilliseconds - addedMilliseconds > limitMilliseconds;
}
