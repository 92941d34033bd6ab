/*
 * Sheds load at its arrival. The load condition: every backend server that could serve a request has more work than it can
 * do in time. Sent on, the request would be answered late or not at all, and would delay all that come after it. Requests are
 * refused in the order of shares, then urgency: workspaces over their shares while the most urgent requests of others would
 * still be in time, the others' less urgent requests where these would be late themselves. Nothing is refused where a server has room or
 * where its load is not known.
 */
import { createReturnSpread } from "../limits";
import { FleetInstance } from "../protocol";
import { Clock, RandomSource } from "../runtime";
import { AttemptEnd } from "./AttemptEnd";
import { createWorkspaceUse } from "./createWorkspaceUse";
import { estimateServerWait } from "./estimateServerWait";
import { LoadShedding } from "./LoadShedding";
import { LoadTracker } from "./LoadTracker";
import { ServerWait } from "./ServerWait";
import { SheddingDecision } from "./SheddingDecision";
import { SheddingDemand } from "./SheddingDemand";

/** The share of a server's slots that are taken where it has no room to spare. */
const roomShareOfSlots = 0.5;
/** The factor between the limits of successive kinds of requests of workspaces over their shares. */
const stepFactor = 2;
/** The minimum delay after which a refused caller may retry, in milliseconds. */
const minimumRetryAfterMilliseconds = 100;
/** The share of the caller's time in which it returns. */
const returnShareOfCallerTime = 0.33;
/**
 * The number of random candidates that may take a request in place of the chosen one. If all were considered, all entry
 * processes would send to the same server until they heard of each other's requests.
 */
const sampledCandidates = 2;
/** The weight of the last request in the mean time that requests occupy slots. */
const holdWeight = 0.05;
/** The maximum number of attempts whose beginning is kept; the oldest are then not measured. */
const maximumMeasuredAttempts = 8_192;

interface LoadSheddingOptions {
    loads: Pick<
        LoadTracker,
        | "getRequestCount"
        | "getReportedPrefillTokens"
        | "getPromptTokens"
        | "getQueueLength"
        | "getSlots"
        | "getLoadAgeMilliseconds"
        | "isSuspected"
    >;
    /** Gets how long work takes at a server, as a multiple of the usual time; 1 where it is not known. */
    getWorkFactor(instanceId: string): number;
    clock: Clock;
    /** Chooses among the servers that can serve a request in time. */
    random: RandomSource;
}

/**
 * Creates the load shedding of an entry process.
 * @param options - What the decisions depend on.
 */
export function createLoadShedding(options: LoadSheddingOptions): LoadShedding {
    const { loads, getWorkFactor, clock, random } = options;
    const use = createWorkspaceUse(clock);
    const spreadReturns = createReturnSpread();
    const measuredAttempts = new Map<string, { service: string; sentMilliseconds: number; }>();
    const holdMilliseconds = new Map<string, number>();
    return { decide, recordSent, recordEnd };

    function decide(
        demand: SheddingDemand,
        chosen: FleetInstance,
        candidates: readonly FleetInstance[],
        getMissingTokens: (instance: FleetInstance) => number,
    ): SheddingDecision {
        if (hasRoom(demand, chosen.instanceId)) {
            return { kind: "send", instance: chosen };
        }
        const isOverShare = use.isOverShare(demand.service, demand.workspace);
        const limitMilliseconds = getLimit(demand, isOverShare);
        // All entry processes see the same load, some time ago. With one threshold, all would send at once and then none.
        const drawnMilliseconds = isOverShare ? limitMilliseconds * random.getFraction() : limitMilliseconds;
        const isInTime = ({ aheadMilliseconds, totalMilliseconds }: ServerWait) =>
            aheadMilliseconds <= drawnMilliseconds && totalMilliseconds <= demand.remainingMilliseconds;
        const getWait = (instance: FleetInstance) => estimate(demand, instance, getMissingTokens(instance));
        if (isInTime(getWait(chosen))) {
            return { kind: "send", instance: chosen };
        }
        const others = candidates.filter(instance => !instance.isLoading && !loads.isSuspected(instance.instanceId));
        const sampled = Array.from(
            { length: Math.min(sampledCandidates, others.length) },
            () => others[random.getInteger(others.length)]!,
        );
        const withRoom = sampled.filter(instance => hasRoom(demand, instance.instanceId));
        if (withRoom.length > 0) {
            const isChosenInTime = getWait(chosen).totalMilliseconds <= demand.remainingMilliseconds;
            return { kind: "send", instance: isChosenInTime ? chosen : withRoom[0]! };
        }
        const waits = [chosen, ...others].map(instance => ({ instance, wait: getWait(instance) }));
        const { instance, wait } = waits.reduce((best, other) =>
            other.wait.totalMilliseconds < best.wait.totalMilliseconds ? other : best
        );
        return {
            kind: "refuse",
            wait,
            limitMilliseconds: Math.min(drawnMilliseconds, demand.remainingMilliseconds),
            loadAgeMilliseconds: loads.getLoadAgeMilliseconds(instance.instanceId) ?? 0,
            isOverShare,
            retryAfterMilliseconds: getRetryAfter(wait, demand.remainingMilliseconds, isOverShare),
        };
    }

    /**
     * Spreads returns over the time in which the work ahead ends. For a workspace over its share, that includes the work that
     * it was refused, so its callers are spread over all the time for which they wait.
     */
    function getRetryAfter(wait: ServerWait, remainingMilliseconds: number, isOverShare: boolean): number {
        const maximumMilliseconds = returnShareOfCallerTime * remainingMilliseconds - minimumRetryAfterMilliseconds;
        const rangeMilliseconds = isOverShare
            ? maximumMilliseconds
            : Math.min(wait.aheadMilliseconds, maximumMilliseconds);
        return spreadReturns(minimumRetryAfterMilliseconds, Math.max(0, rangeMilliseconds));
    }

    /** Returns whether a server has slots to spare and nothing waits there, or its load is not known. */
    function hasRoom({ slots, memoryTokens, promptTokens }: SheddingDemand, instanceId: string): boolean {
        const knownSlots = loads.getSlots(instanceId) ?? slots;
        if (loads.getLoadAgeMilliseconds(instanceId) === undefined || knownSlots === undefined) {
            return true;
        }
        return loads.getRequestCount(instanceId) < roomShareOfSlots * knownSlots
            && loads.getQueueLength(instanceId) === 0 && loads.getReportedPrefillTokens(instanceId) === 0
            && loads.getPromptTokens(instanceId) + promptTokens <= memoryTokens;
    }

    function estimate(demand: SheddingDemand, { instanceId }: FleetInstance, ownMissingTokens: number): ServerWait {
        return estimateServerWait({
            requestCount: loads.getRequestCount(instanceId),
            pendingPrefillTokens: loads.getReportedPrefillTokens(instanceId),
            promptTokens: loads.getPromptTokens(instanceId),
            slots: loads.getSlots(instanceId) ?? demand.slots,
            memoryTokens: demand.memoryTokens,
            holdMilliseconds: holdMilliseconds.get(demand.service),
            ownPromptTokens: demand.promptTokens,
            ownMissingTokens,
            workFactor: getWorkFactor(instanceId),
        });
    }

    /**
     * Gets the longest time of the work ahead with which a request is sent. Of workspaces within their shares, the most urgent
     * kind is sent while its time is left, and the others while they can meet their objective. The limit of the most urgent
     * kind of workspaces over their shares is the shortest objective, and that of each further kind half as much; the more of
     * these are refused the longer the wait is, and all from the limit.
     */
    function getLimit(demand: SheddingDemand, isOverShare: boolean): number {
        const { rank, targetMilliseconds, shortestTargetMilliseconds } = demand;
        if (isOverShare) {
            return shortestTargetMilliseconds / stepFactor ** rank;
        }
        return rank === 0 ? Infinity : targetMilliseconds;
    }

    function recordSent(
        runId: string,
        { service, workspace, promptTokens, ...demand }: SheddingDemand,
        instanceId: string,
    ): void {
        use.record(service, workspace, Math.max(1, promptTokens));
        const slots = loads.getSlots(instanceId) ?? demand.slots;
        // The time of a request that waits for a slot is not the time that it occupies one.
        if (slots === undefined || loads.getRequestCount(instanceId) > slots) {
            return;
        }
        if (measuredAttempts.size >= maximumMeasuredAttempts) {
            measuredAttempts.delete(measuredAttempts.keys().next().value!);
        }
        measuredAttempts.set(runId, { service, sentMilliseconds: clock.getMonotonicMilliseconds() });
    }

    function recordEnd(runId: string, end: AttemptEnd): void {
        const attempt = measuredAttempts.get(runId);
        measuredAttempts.delete(runId);
        if (attempt && end === "complete") {
            const { service, sentMilliseconds } = attempt;
            const milliseconds = clock.getMonotonicMilliseconds() - sentMilliseconds;
            const mean = holdMilliseconds.get(service) ?? milliseconds;
            holdMilliseconds.set(service, mean + holdWeight * (milliseconds - mean));
        }
    }
}
