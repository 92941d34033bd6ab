/*
 * Tracks the load of backend servers: what they report with their responses, corrected by the attempts that this entry
 * process has started and ended since, and what the other entry processes have in flight at engines. The others' prompts
 * that were waiting for their prefill some time ago have partly been prefilled since; only what is left of a long backlog
 * counts. How long work takes at an engine is estimated from what it reports to all entry processes.
 */
import { Clock } from "../runtime";
import { FleetLoads, ServerLoad } from "../serverLoads";
import { createServerSpeeds, ServerSpeed } from "../serverSpeeds";
import { LoadReport } from "./LoadReport";
import { LoadTracker } from "./LoadTracker";
import { prefillTokensPerMillisecond } from "./prefillTokensPerMillisecond";

/** How long a report is used: the time of a few requests; after that, the requests that it counts have ended. */
const reportValidityMilliseconds = 1_500;
/** How long a backend server is avoided after a first failure; doubles with each consecutive failure. */
const firstAvoidanceMilliseconds = 500;
/** The maximum time for which a backend server is avoided after a failure; then an attempt may try it again. */
const maximumAvoidanceMilliseconds = 4_000;
/**
 * How long a backend server is avoided whose address belongs to another one: the fleet view no longer lists it by then.
 */
const replacedAvoidanceMilliseconds = 10_000;

/** The load of one backend server. */
interface InstanceLoad {
    /** The attempts of this entry process in flight. */
    ownAttempts: number;
    /** Whether its requests have prompts. */
    isEngine: boolean;
    pendingPrefillTokens: number;
    /** The prompt tokens of its attempts in flight. */
    promptTokens: number;
    report: LoadReport | undefined;
    reportedAtMilliseconds: number;
    /** The attempts of this entry process that were started since the report, less those that ended. */
    netAttemptsSinceReport: number;
    consecutiveFailures: number;
    suspectedUntilMilliseconds: number;
}

/**
 * Creates an empty tracker.
 * @param clock - The clock.
 * @param isUnresponsive - Returns whether a backend server is considered unresponsive.
 * @param fleetLoads - The load that other entry processes have caused.
 */
export function createLoadTracker(
    clock: Clock,
    isUnresponsive: (instanceId: string) => boolean,
    fleetLoads: Pick<FleetLoads, "getOthers">,
): LoadTracker {
    const loads = new Map<string, InstanceLoad>();
    const speeds = createServerSpeeds(clock);
    return {
        recordSent,
        recordPrefillEnd,
        recordAttemptEnd,
        recordReport,
        recordFailure,
        recordReplaced: instanceId =>
            getLoad(instanceId).suspectedUntilMilliseconds = clock.getMonotonicMilliseconds()
                + replacedAvoidanceMilliseconds,
        isSuspected: instanceId =>
            isUnresponsive(instanceId)
            || (loads.get(instanceId)?.suspectedUntilMilliseconds ?? 0) > clock.getMonotonicMilliseconds(),
        getQueueLength,
        getRequestCount,
        getPendingPrefillTokens,
        getReportedPrefillTokens: instanceId =>
            (loads.get(instanceId)?.pendingPrefillTokens ?? 0)
            + (fleetLoads.getOthers(instanceId)?.pendingPrefillTokens ?? 0),
        getPromptTokens: instanceId =>
            (loads.get(instanceId)?.promptTokens ?? 0) + (fleetLoads.getOthers(instanceId)?.promptTokens ?? 0),
        getSlots: instanceId => loads.get(instanceId)?.report?.slots,
        getWorkFactor,
        getSpeed,
        hasReportedSpeeds: () => speeds.getReportedIds().length > 0,
        getKnownWorkFactors: () => speeds.getReportedIds().map(getWorkFactor),
        getLoadAgeMilliseconds,
        getOwnLoads,
    };

    function getLoad(instanceId: string): InstanceLoad {
        const known = loads.get(instanceId);
        if (known) {
            return known;
        }
        const load: InstanceLoad = {
            ownAttempts: 0,
            isEngine: false,
            pendingPrefillTokens: 0,
            promptTokens: 0,
            report: undefined,
            reportedAtMilliseconds: 0,
            netAttemptsSinceReport: 0,
            consecutiveFailures: 0,
            suspectedUntilMilliseconds: 0,
        };
        loads.set(instanceId, load);
        return load;
    }

    function recordSent(instanceId: string, promptTokens: number, prefillTokens: number): void {
        const load = getLoad(instanceId);
        load.ownAttempts += 1;
        load.netAttemptsSinceReport += 1;
        load.isEngine ||= promptTokens > 0;
        load.pendingPrefillTokens += prefillTokens;
        load.promptTokens += promptTokens;
    }

    function recordPrefillEnd(instanceId: string, prefillTokens: number): void {
        const load = getLoad(instanceId);
        load.pendingPrefillTokens = Math.max(0, load.pendingPrefillTokens - prefillTokens);
    }

    function recordAttemptEnd(instanceId: string, promptTokens: number): void {
        const load = getLoad(instanceId);
        load.promptTokens = Math.max(0, load.promptTokens - promptTokens);
        load.ownAttempts = Math.max(0, load.ownAttempts - 1);
        load.netAttemptsSinceReport -= 1;
    }

    function recordReport(instanceId: string, report: LoadReport): void {
        const load = getLoad(instanceId);
        load.report = report;
        load.reportedAtMilliseconds = clock.getMonotonicMilliseconds();
        load.netAttemptsSinceReport = 0;
        load.consecutiveFailures = 0;
        load.suspectedUntilMilliseconds = 0;
        if (report.workPercent !== undefined) {
            speeds.recordReport(instanceId, report.workPercent);
        }
    }

    function recordFailure(instanceId: string): void {
        const load = getLoad(instanceId);
        const avoidanceMilliseconds = Math.min(
            maximumAvoidanceMilliseconds,
            firstAvoidanceMilliseconds * 2 ** load.consecutiveFailures,
        );
        load.consecutiveFailures += 1;
        load.suspectedUntilMilliseconds = clock.getMonotonicMilliseconds() + avoidanceMilliseconds;
    }

    function getQueueLength(instanceId: string): number {
        return getFreshReport(instanceId)?.waiting ?? 0;
    }

    function getFreshReport(instanceId: string): LoadReport | undefined {
        const load = loads.get(instanceId);
        const isFresh = load
            && clock.getMonotonicMilliseconds() - load.reportedAtMilliseconds <= reportValidityMilliseconds;
        return isFresh ? load.report : undefined;
    }

    function getLoadAgeMilliseconds(instanceId: string): number | undefined {
        const sumsAgeMilliseconds = fleetLoads.getOthers(instanceId)?.ageMilliseconds;
        const reportedMilliseconds = getFreshReport(instanceId) && loads.get(instanceId)?.reportedAtMilliseconds;
        if (reportedMilliseconds === undefined) {
            return sumsAgeMilliseconds;
        }
        return Math.min(clock.getMonotonicMilliseconds() - reportedMilliseconds, sumsAgeMilliseconds ?? Infinity);
    }

    function getRequestCount(instanceId: string): number {
        const othersCount = fleetLoads.getOthers(instanceId)?.requestCount ?? 0;
        const load = loads.get(instanceId);
        if (!load) {
            return othersCount;
        }
        const countByOwnRequests = load.ownAttempts + othersCount;
        const reportAgeMilliseconds = clock.getMonotonicMilliseconds() - load.reportedAtMilliseconds;
        if (!load.report || reportAgeMilliseconds > reportValidityMilliseconds) {
            return countByOwnRequests;
        }
        return Math.max(countByOwnRequests, load.report.running + load.report.waiting + load.netAttemptsSinceReport);
    }

    function getPendingPrefillTokens(instanceId: string): number {
        const others = fleetLoads.getOthers(instanceId);
        const othersTokens = others
            ? others.pendingPrefillTokens
                - prefillTokensPerMillisecond / getWorkFactor(instanceId) * others.ageMilliseconds
            : 0;
        return (loads.get(instanceId)?.pendingPrefillTokens ?? 0) + Math.max(0, othersTokens);
    }

    function getSpeed(instanceId: string): ServerSpeed | undefined {
        return speeds.getSpeed(instanceId, fleetLoads.getOthers(instanceId));
    }

    function getWorkFactor(instanceId: string): number {
        return getSpeed(instanceId)?.workFactor ?? 1;
    }

    function getOwnLoads(): readonly ServerLoad[] {
        const reportedIds = new Set(speeds.getReportedIds());
        return [...loads]
            .filter(([id, { isEngine, ownAttempts }]) => isEngine && (ownAttempts > 0 || reportedIds.has(id)))
            .map(([instanceId, { ownAttempts, pendingPrefillTokens, promptTokens }]) => ({
                instanceId,
                requestCount: ownAttempts,
                pendingPrefillTokens,
                promptTokens,
                ...speeds.getOwnEvidence(instanceId) ?? { workWeight: 0, weightedWork: 0 },
            }));
    }
}
