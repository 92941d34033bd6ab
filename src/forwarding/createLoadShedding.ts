/*
 * Sheds load at its arrival. The load condition: the prompts in flight at a backend server would occupy more of its memory than
 * their kind may, or the request could not be answered in its caller's time. Sent on, it would be answered late or not at all,
 * and would have the engine preempt runs and evict cached prefixes, which delays all that come after it. The less urgent kinds
 * are refused before the most urgent one, and those of workspaces over their shares first. Nothing is refused where a server has
 * room or where its load is not known.
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
/** The minimum delay after which a refused caller may retry, in milliseconds. */
const minimumRetryAfterMilliseconds = 500;
/**
 * The share of an engine's memory that the prompts in flight may occupy with a new one, by its kind. Beyond its memory an engine
 * preempts runs and evicts cached prefixes, and prefills them again. Below it, memory is left for generated tokens and for the
 * prefixes that the next prompts share. A workspace over its share stops earlier, so that the others find memory. The most urgent
 * kind may exceed the memory and take the place of the others. Its limit does not depend on shares: its prompts are short, so
 * that refusing them frees little memory. Measured in trials of one play each, see docs/design/contention.md.
 */
const maximumFills = { lessUrgentOverShare: 0.75, lessUrgent: 0.85, mostUrgent: 1.45 };
/** The share of the objective that the work ahead of a less urgent request of a workspace over its share may take. */
const overShareOfTarget = 0.25;
/** The share of the caller's time in which it returns. */
const returnShareOfCallerTime = 0.33;
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
    /** Chooses among the servers that have room. */
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
        const isOverShare = use.isOverShare(demand.service, demand.workspace);
        if (hasRoom(demand, chosen.instanceId)) {
            return { kind: "send", instance: chosen };
        }
        const maximumFill = getMaximumFill(demand.rank, isOverShare);
        const fill = getFill(demand, chosen.instanceId);
        const wait = estimate(demand, chosen, getMissingTokens(chosen));
        const maximumAheadMilliseconds = getMaximumAhead(demand, isOverShare);
        if (
            fill <= maximumFill && wait.aheadMilliseconds <= maximumAheadMilliseconds
            && wait.totalMilliseconds <= demand.remainingMilliseconds
        ) {
            return { kind: "send", instance: chosen };
        }
        const withRoom = candidates.filter(instance =>
            !instance.isLoading && !loads.isSuspected(instance.instanceId) && hasRoom(demand, instance.instanceId)
        );
        if (withRoom.length > 0) {
            return { kind: "send", instance: withRoom[random.getInteger(withRoom.length)]! };
        }
        return {
            kind: "refuse",
            fill,
            maximumFill,
            maximumAheadMilliseconds,
            wait,
            loadAgeMilliseconds: loads.getLoadAgeMilliseconds(chosen.instanceId) ?? 0,
            isOverShare,
            retryAfterMilliseconds: getRetryAfter(demand.remainingMilliseconds),
        };
    }

    /** Gets the share of an engine's memory that the prompts in flight would occupy with another one; 0 where the memory is not known. */
    function getFill({ memoryTokens, promptTokens }: SheddingDemand, instanceId: string): number {
        return (loads.getPromptTokens(instanceId) + promptTokens) / memoryTokens;
    }

    /**
     * Spreads returns over the time for which callers wait before they retry: the work ahead is replaced by the requests that
     * other callers send meanwhile.
     */
    function getRetryAfter(remainingMilliseconds: number): number {
        const rangeMilliseconds = returnShareOfCallerTime * remainingMilliseconds - minimumRetryAfterMilliseconds;
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

    function recordSent(
        runId: string,
        { service, workspace, promptTokens, ...demand }: SheddingDemand,
        instanceId: string,
    ): void {
        use.record(service, workspace, Math.max(1, promptTokens) / demand.shareWeight);
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

function getMaximumFill(rank: number, isOverShare: boolean): number {
    if (rank === 0) {
        return maximumFills.mostUrgent;
    }
    return isOverShare ? maximumFills.lessUrgentOverShare : maximumFills.lessUrgent;
}

/**
 * Gets the longest time of the work ahead with which a request is sent: less urgent ones would be late themselves behind their
 * objective, and those of workspaces over their shares would make others late.
 */
function getMaximumAhead({ rank, targetMilliseconds }: SheddingDemand, isOverShare: boolean): number {
    if (rank === 0) {
        return Infinity;
    }
    return isOverShare ? overShareOfTarget * targetMilliseconds : targetMilliseconds;
}
