/*
 * A route search by optimistic dispatch. The first choice accepts the request at once where its cost is low, which is
 * the usual case. Otherwise it responds with its cost, and each further choice is asked to accept only where its cost
 * is both low and lower than that. Each sidecar has the exact state of its own engine and queue, so processes exchange
 * no load data. Where no choice accepts, the request is sent to the cheapest, which may not refuse it for its cost. If
 * the first choice that is only somewhat cheaper accepted, it would copy prefixes that a later choice has cached.
 */
import { RouteEstimate } from "./RouteEstimate";
import { RouteSearch } from "./RouteSearch";
import { RouteSearchOptions } from "./RouteSearchOptions";
import { RouteStep } from "./RouteStep";

/** The number of choices to ask where the prefix isn't replicated more widely. */
const baseChoices = 4;
/** Cost differences below this margin don't justify another choice. */
const costMarginMilliseconds = 20;
/** The lowest cost so far allows asking one more choice for each multiple of this. */
const costMillisecondsPerChoice = 100;
/** The cost up to which a further choice accepts while others remain to be asked. */
const lowCostMilliseconds = 60;
/** The part of the lowest cost so far that a choice beyond the base number must not exceed. */
const extraChoiceCostRatio = 0.7;

/** Creates the route search of one request. */
export function createRouteSearch(options: RouteSearchOptions): RouteSearch {
    const { placement, request, candidates } = options;
    const mayRedirect = options.mayRedirect ?? true;
    const excluded = new Set(request.excluded);
    const estimates = new Map<string, RouteEstimate>();
    let choices = placement.rank(request, candidates);
    let askedCount = 0;
    return { getNext, addEstimate, exclude };

    function getNext(): RouteStep | undefined {
        if (choices.length === 0) {
            choices = placement.rank({ ...request, excluded }, candidates);
        }
        const next = choices.find(choice => !estimates.has(choice.instanceId));
        if (next !== undefined && mayRedirect && choices.length > 1 && isWorthAsking()) {
            askedCount++;
            return { sidecar: next, mayRedirect: true, acceptBelowMilliseconds: getAcceptBelowMilliseconds() };
        }
        const cheapest = getCheapest();
        return cheapest && { sidecar: cheapest, mayRedirect: false, acceptBelowMilliseconds: undefined };
    }

    function addEstimate(instanceId: string, estimate: RouteEstimate): void {
        estimates.set(instanceId, estimate);
    }

    function exclude(instanceId: string): void {
        excluded.add(instanceId);
        estimates.delete(instanceId);
        choices = choices.filter(choice => choice.instanceId !== instanceId);
    }

    /** Tells whether to ask another choice; a higher lowest cost or replica count allows more choices. */
    function isWorthAsking(): boolean {
        const lowest = getLowestEstimate();
        if (lowest === undefined) {
            return true;
        }
        const worthwhileChoices = 1 + lowest.costMilliseconds / costMillisecondsPerChoice;
        return askedCount < Math.max(lowest.replicaCount, Math.min(baseChoices, worthwhileChoices));
    }

    /** Gets the cost up to which the next choice should accept; undefined where it applies its own limit. */
    function getAcceptBelowMilliseconds(): number | undefined {
        const lowest = getLowestEstimate();
        if (lowest === undefined) {
            return undefined;
        }
        const improvedCostMilliseconds = askedCount <= baseChoices
            ? lowest.costMilliseconds - costMarginMilliseconds
            : lowest.costMilliseconds * extraChoiceCostRatio;
        const isLast = askedCount === baseChoices || askedCount === choices.length;
        return isLast ? improvedCostMilliseconds : Math.min(improvedCostMilliseconds, lowCostMilliseconds);
    }

    function getLowestEstimate(): RouteEstimate | undefined {
        let lowest: RouteEstimate | undefined;
        for (const estimate of estimates.values()) {
            lowest = lowest === undefined || estimate.costMilliseconds < lowest.costMilliseconds ? estimate : lowest;
        }
        return lowest;
    }

    /** Gets the first choice whose estimate is within the margin of the lowest; without estimates, the first choice. */
    function getCheapest(): RouteStep["sidecar"] | undefined {
        const lowest = getLowestEstimate();
        if (lowest === undefined) {
            return choices[0];
        }
        const maximumCostMilliseconds = lowest.costMilliseconds + costMarginMilliseconds;
        return choices.find(choice =>
            (estimates.get(choice.instanceId)?.costMilliseconds ?? Infinity) <= maximumCostMilliseconds
        );
    }
}
