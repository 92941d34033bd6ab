/*
 * Records which attempts reach the backend servers of a soak, and finds those that the budgets of the settings, the routes and
 * the callers don't allow: retries of a service in a sliding window, runs of a request, and time that is left for an attempt.
 */
import { soakBounds } from "./soakBounds";

const millisecondsPerSecond = 1_000;
const windowMilliseconds = soakBounds.budget_window_s * millisecondsPerSecond;
/** By how much the time of an attempt may be longer than what its caller has left, in milliseconds. */
const deadlineToleranceMilliseconds = 500;
/** How many requests may run more often than their route allows. */
const maximumExcessiveRequests = 3;
/** How many attempts may have too much time, and the share of these and of all late retries from which it is too many. */
const maximumLongAttempts = 20;
const maximumLongShare = 1 / 5;

/** A request of a caller. */
export interface SoakSentRequest {
    requestId: string;
    /** The service of its route. */
    service: string;
    /** Whether its response is a stream. */
    isStream: boolean;
    /** How many backend servers may run it. */
    maximumAttempts: number;
    /** When it was sent, in milliseconds since the epoch. */
    sentMilliseconds: number;
    /** How long its caller waits, in milliseconds. */
    deadlineMilliseconds: number;
}

/** Records attempts, and finds those that are not allowed. */
export interface ArrivalTracker {
    /** Records that a caller sends a request. */
    recordRequest(request: SoakSentRequest): void;
    /**
     * Records that an attempt reaches a backend server, whether it runs or is refused.
     * @param requestId - The request's id.
     * @param deadlineMilliseconds - The time that the attempt states; undefined for none.
     * @param isOnTime - Whether nothing has held it back on its way, so that its time is compared with its caller's.
     */
    recordArrival(requestId: string, deadlineMilliseconds: number | undefined, isOnTime: boolean): void;
    /** Gets the largest share of its allowance that the retries of a service have reached in a window. */
    getBudgetShare(): number;
    /**
     * Gets all breaches.
     * @param getRunCount - Gets how often a request ran.
     */
    getBreaches(getRunCount: (requestId: string) => number): readonly string[];
}

/** The retries in the window that is closest to its allowance, or farthest beyond it. */
interface WorstWindow {
    retries: number;
    allowed: number;
    endMilliseconds: number;
}

/** Creates an empty tracker. */
export function createArrivalTracker(): ArrivalTracker {
    const requests = new Map<string, SoakSentRequest>();
    const requestTimes = new Map<string, number[]>();
    const retryTimes = new Map<string, number[]>();
    const firstArrivals = new Map<string, { milliseconds: number; endMilliseconds: number; }>();
    const longAttempts: string[] = [];
    let lateRetryCount = 0;
    return { recordRequest, recordArrival, getBudgetShare, getBreaches };

    function recordRequest(request: SoakSentRequest): void {
        requests.set(request.requestId, request);
        addTime(requestTimes, request.service, request.sentMilliseconds);
    }

    function recordArrival(requestId: string, deadlineMilliseconds: number | undefined, isOnTime: boolean): void {
        const request = requests.get(requestId);
        if (!request) {
            return;
        }
        const now = Date.now();
        const first = firstArrivals.get(requestId);
        const endMilliseconds = now + (deadlineMilliseconds ?? Infinity);
        if (!first) {
            firstArrivals.set(requestId, { milliseconds: now, endMilliseconds });
        }
        else {
            addTime(retryTimes, request.service, now);
        }
        const isLateRetry = first !== undefined && now > first.milliseconds + deadlineToleranceMilliseconds;
        const callerEndMilliseconds = request.sentMilliseconds + request.deadlineMilliseconds;
        const isLong = (deadlineMilliseconds ?? Infinity) > request.deadlineMilliseconds + deadlineToleranceMilliseconds
            || isLateRetry
                && endMilliseconds
                    > Math.max(first.endMilliseconds, callerEndMilliseconds) + deadlineToleranceMilliseconds;
        if (isOnTime && !request.isStream && (isLong || isLateRetry)) {
            lateRetryCount += 1;
            longAttempts.push(...isLong ? [requestId] : []);
        }
    }

    function getBudgetShare(): number {
        const shares = [...retryTimes.keys()].map(service => getWorstWindow(service)).map(window =>
            window.retries / window.allowed
        );
        return Math.max(0, ...shares);
    }

    /** Gets the worst of the windows that end with a retry. */
    function getWorstWindow(service: string): WorstWindow {
        const retries = retryTimes.get(service) ?? [];
        const sent = requestTimes.get(service) ?? [];
        let worst: WorstWindow = { retries: 0, allowed: soakBounds.retry_budget_slack, endMilliseconds: 0 };
        for (const endMilliseconds of retries) {
            const requestCounts = [0, windowMilliseconds / 2, windowMilliseconds].map(shift =>
                countWithin(sent, endMilliseconds - shift)
            );
            const window = {
                retries: countWithin(retries, endMilliseconds),
                allowed: soakBounds.retry_budget_ratio * Math.max(...requestCounts) + soakBounds.retry_budget_slack,
                endMilliseconds,
            };
            worst = window.retries / window.allowed > worst.retries / worst.allowed ? window : worst;
        }
        return worst;
    }

    function getBreaches(getRunCount: (requestId: string) => number): readonly string[] {
        const overBudget = [...retryTimes.keys()].map(service => ({ service, ...getWorstWindow(service) }))
            .filter(({ retries, allowed }) => retries > allowed)
            .map(({ service, retries, allowed, endMilliseconds }) =>
                `${service} got ${retries} retries in the window until ${endMilliseconds}, where ${allowed} are allowed`
            );
        const excessive = [...requests.values()].filter(({ requestId, maximumAttempts }) =>
            getRunCount(requestId) > maximumAttempts
        ).map(({ requestId }) => requestId);
        const isTooLong = longAttempts.length > Math.max(maximumLongAttempts, maximumLongShare * lateRetryCount);
        return [
            ...overBudget,
            ...excessive.length > maximumExcessiveRequests
                ? [`${excessive.join(" ")} ran at more backend servers than their routes allow`]
                : [],
            ...isTooLong ? [`${longAttempts.join(" ")} had more time at backend servers than their callers`] : [],
        ];
    }
}

function addTime(timesOfServices: Map<string, number[]>, service: string, milliseconds: number): void {
    const times = timesOfServices.get(service) ?? [];
    timesOfServices.set(service, times);
    times.push(milliseconds);
}

/** Counts the times within a window. */
function countWithin(times: readonly number[], endMilliseconds: number): number {
    return times.filter(time => time > endMilliseconds - windowMilliseconds && time <= endMilliseconds).length;
}
