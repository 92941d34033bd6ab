/*
 * A search by optimistic dispatch. The first choice takes the request at once where its cost is low, which is the rule.
 * Otherwise it answers with its cost, and the next choices are asked to take the request only if theirs is both lower
 * and low; each of them knows its own engine and queue exactly, so no load is exchanged between processes. Then the
 * cheapest that answered gets the request without leave to refuse it for cost. Taking the first that is somewhat
 * cheaper would copy prefixes that a later choice holds.
 */
import { RouteEstimate } from "./RouteEstimate";
import { RouteSearch } from "./RouteSearch";
import { RouteSearchOptions } from "./RouteSearchOptions";
import { RouteStep } from "./RouteStep";

const baseChoices = 4;
const costMarginMilliseconds = 20;
const costMillisecondsPerChoice = 100;
const lowCostMilliseconds = 60;
const extraChoiceCostRatio = 0.7;

/** Creates the search of one request. */
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

    /** Tells whether another choice may be better: a few always may, further ones where the best has a long wait. */
    function isWorthAsking(): boolean {
        const lowest = getLowestEstimate();
        if (lowest === undefined) {
            return true;
        }
        const worthwhileChoices = 1 + lowest.costMilliseconds / costMillisecondsPerChoice;
        return askedCount < Math.max(lowest.replicaCount, Math.min(baseChoices, worthwhileChoices));
    }

    /** Gets the cost up to which the next choice should take the request; undefined where it may decide alone. */
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

    /** Gets the first choice whose cost is within the margin of the lowest; a choice that gave none comes last. */
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
