/*
 * The limit that an engine of a soak names for some time, changes and drops, and the check that it is kept.
 */
import { RandomSource } from "../../../src/runtime";
import { RunTracker } from "./RunTracker";
import { soakBounds } from "./soakBounds";

const firstMilliseconds = 2_000;
const minimumPhaseMilliseconds = 9_000;
const phaseRangeMilliseconds = 3_000;
const minimumRequestsPerSecond = 0.8;
const requestsPerSecondRange = 3;
/** The span over which requests are counted. */
const windowMilliseconds = 4_000;
const toleratedFactor = 1.5;
const toleratedRequests = 5;

/** The limit of one engine. */
export interface SoakRequestLimit {
    /** Gets the headers that name the limit; none while there is no limit. */
    getHeaders(): Record<string, string>;
    /** Records that a request arrives, and checks the requests of the last seconds. */
    recordArrival(): void;
    /** Starts anew, as for another engine. */
    restart(): void;
}

/**
 * Creates a limit with two phases, one after the other.
 * @param random - Chooses the limits and their times.
 * @param runTracker - Records a limit that is not kept.
 */
export function createSoakRequestLimit(random: RandomSource, runTracker: RunTracker): SoakRequestLimit {
    const phases = [0, 1].map(() => ({
        milliseconds: minimumPhaseMilliseconds + random.getInteger(phaseRangeMilliseconds),
        requestsPerSecond: minimumRequestsPerSecond + random.getFraction() * requestsPerSecondRange,
    }));
    const startMilliseconds = Date.now() + firstMilliseconds;
    let restartMilliseconds = 0;
    let arrivals: number[] = [];
    return {
        getHeaders,
        recordArrival,
        restart: () => {
            restartMilliseconds = Date.now();
            arrivals = [];
        },
    };

    function getHeaders(): Record<string, string> {
        const phase = getPhase();
        return phase ? { "server-limit": phase.requestsPerSecond.toFixed(2) } : {};
    }

    /** Gets the limit in force and since when; undefined where there is none. */
    function getPhase(): { requestsPerSecond: number; sinceMilliseconds: number; } | undefined {
        let sinceMilliseconds = startMilliseconds;
        for (const { milliseconds, requestsPerSecond } of phases) {
            if (Date.now() >= sinceMilliseconds && Date.now() < sinceMilliseconds + milliseconds) {
                return { requestsPerSecond, sinceMilliseconds: Math.max(sinceMilliseconds, restartMilliseconds) };
            }
            sinceMilliseconds += milliseconds;
        }
        return undefined;
    }

    function recordArrival(): void {
        const phase = getPhase();
        const now = Date.now();
        const fromMilliseconds = Math.max(
            now - windowMilliseconds,
            (phase?.sinceMilliseconds ?? now) + soakBounds.stable_window_ms,
        );
        arrivals = arrivals.filter(time => time >= fromMilliseconds);
        if (!phase || now < fromMilliseconds || !runTracker.isStable()) {
            return;
        }
        arrivals.push(now);
        const seconds = windowMilliseconds / 1_000;
        const allowed = toleratedFactor * phase.requestsPerSecond * seconds + toleratedRequests;
        if (arrivals.length > allowed) {
            const limit = phase.requestsPerSecond.toFixed(2);
            runTracker.addBreach(`an engine with a limit of ${limit} a second got ${arrivals.length} requests in 4 s`);
            arrivals = [];
        }
    }
}
