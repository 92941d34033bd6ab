/*
 * Keeps the load of backend servers: what they report with their answers, corrected by what this entry has sent and seen
 * end since.
 */
import { Clock } from "../runtime";
import { LoadBoard } from "./LoadBoard";
import { LoadReport } from "./LoadReport";

/** How long a report counts, in milliseconds: a few requests' time; later its requests have ended. */
const reportMilliseconds = 1_500;
/** How long a backend server is avoided after its first failure in a row, in milliseconds; doubles with each. */
const firstSuspicionMilliseconds = 500;
/** The longest time for which a backend server is avoided, in milliseconds: one attempt then tries it again. */
const longestSuspicionMilliseconds = 4_000;

/** How long one is avoided whose address answers for another, in milliseconds: it is off the list by then. */
const goneMilliseconds = 10_000;

interface InstanceLoad {
    own: number;
    unreadTokens: number;
    report: LoadReport | undefined;
    reportMilliseconds: number;
    changeSinceReport: number;
    failures: number;
    suspectedUntil: number;
}

/**
 * Creates an empty board.
 * @param clock - The passing of time.
 * @param isSilent - Tells whether a backend server is held to be dead.
 */
export function createLoadBoard(clock: Clock, isSilent: (instanceId: string) => boolean): LoadBoard {
    const loads = new Map<string, InstanceLoad>();
    return {
        noteSent,
        noteStarted,
        noteEnded,
        noteReport,
        noteFailure,
        noteGone: instanceId =>
            getLoad(instanceId).suspectedUntil = clock.getMonotonicMilliseconds() + goneMilliseconds,
        isSuspected: instanceId =>
            isSilent(instanceId) || (loads.get(instanceId)?.suspectedUntil ?? 0) > clock.getMonotonicMilliseconds(),
        getWaiting,
        getRequests,
        getUnreadTokens: instanceId => loads.get(instanceId)?.unreadTokens ?? 0,
    };

    function getLoad(instanceId: string): InstanceLoad {
        const known = loads.get(instanceId);
        if (known) {
            return known;
        }
        const load: InstanceLoad = {
            own: 0,
            unreadTokens: 0,
            report: undefined,
            reportMilliseconds: 0,
            changeSinceReport: 0,
            failures: 0,
            suspectedUntil: 0,
        };
        loads.set(instanceId, load);
        return load;
    }

    function noteSent(instanceId: string, tokens: number): void {
        const load = getLoad(instanceId);
        load.own += 1;
        load.changeSinceReport += 1;
        load.unreadTokens += tokens;
    }

    function noteStarted(instanceId: string, tokens: number): void {
        const load = getLoad(instanceId);
        load.unreadTokens = Math.max(0, load.unreadTokens - tokens);
    }

    function noteEnded(instanceId: string): void {
        const load = getLoad(instanceId);
        load.own = Math.max(0, load.own - 1);
        load.changeSinceReport -= 1;
    }

    function noteReport(instanceId: string, report: LoadReport): void {
        const load = getLoad(instanceId);
        load.report = report;
        load.reportMilliseconds = clock.getMonotonicMilliseconds();
        load.changeSinceReport = 0;
        load.failures = 0;
        load.suspectedUntil = 0;
    }

    function noteFailure(instanceId: string): void {
        const load = getLoad(instanceId);
        const pause = Math.min(longestSuspicionMilliseconds, firstSuspicionMilliseconds * 2 ** load.failures);
        load.failures += 1;
        load.suspectedUntil = clock.getMonotonicMilliseconds() + pause;
    }

    function getWaiting(instanceId: string): number {
        const load = loads.get(instanceId);
        const isFresh = load && clock.getMonotonicMilliseconds() - load.reportMilliseconds <= reportMilliseconds;
        return isFresh ? load.report?.waiting ?? 0 : 0;
    }

    function getRequests(instanceId: string): number {
        const load = loads.get(instanceId);
        if (!load) {
            return 0;
        }
        const age = clock.getMonotonicMilliseconds() - load.reportMilliseconds;
        if (!load.report || age > reportMilliseconds) {
            return load.own;
        }
        return Math.max(load.own, load.report.running + load.report.waiting + load.changeSinceReport);
    }
}
