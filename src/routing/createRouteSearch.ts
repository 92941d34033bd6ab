/*
 * A search by optimistic dispatch. The first choice takes the request at once where its cost is low, which is the rule.
 * Otherwise it answers with its cost, and the next choices are asked to take the request only if theirs is both lower
 * and low; each of them knows its own engine and queue exactly, so no load is exchanged between processes. Then the
 * cheapest that answered gets the request without leave to refuse it for cost. Taking the first that is somewhat
 * cheaper would copy prefixes that a later choice holds.
 */
import { RouteQuote } from "./RouteQuote";
import { RouteSearch } from "./RouteSearch";
import { RouteSearchOptions } from "./RouteSearchOptions";
import { RouteStep } from "./RouteStep";

const nearChoices = 4;
const nearMarginMilliseconds = 20;
const millisecondsPerChoice = 100;
const goodCostMilliseconds = 60;
const farCostShare = 0.7;

/** Creates the search of one request. */
export function createRouteSearch(options: RouteSearchOptions): RouteSearch {
    const { placement, request, candidates } = options;
    const mayRedirect = options.mayRedirect ?? true;
    const excluded = new Set(request.excluded);
    const quotes = new Map<string, RouteQuote>();
    let choices = placement.rank(request, candidates);
    let asked = 0;
    return { getNext, addQuote, exclude };

    function getNext(): RouteStep | undefined {
        if (choices.length === 0) {
            choices = placement.rank({ ...request, excluded }, candidates);
        }
        const next = choices.find(choice => !quotes.has(choice.instanceId));
        if (next !== undefined && mayRedirect && choices.length > 1 && isWorthAsking()) {
            asked++;
            return { sidecar: next, mayRedirect: true, acceptBelowMilliseconds: getAcceptBelow() };
        }
        const cheapest = getCheapest();
        return cheapest && { sidecar: cheapest, mayRedirect: false, acceptBelowMilliseconds: undefined };
    }

    function addQuote(instanceId: string, quote: RouteQuote): void {
        quotes.set(instanceId, quote);
    }

    function exclude(instanceId: string): void {
        excluded.add(instanceId);
        quotes.delete(instanceId);
        choices = choices.filter(choice => choice.instanceId !== instanceId);
    }

    /** Tells whether another choice may be better: a few always may, further ones where the best has a long wait. */
    function isWorthAsking(): boolean {
        const best = getBestQuote();
        if (best === undefined) {
            return true;
        }
        const worthwhile = 1 + best.costMilliseconds / millisecondsPerChoice;
        return asked < Math.max(best.spread, Math.min(nearChoices, worthwhile));
    }

    /** Gets the cost up to which the next choice should take the request; undefined where it may decide alone. */
    function getAcceptBelow(): number | undefined {
        const best = getBestQuote();
        if (best === undefined) {
            return undefined;
        }
        const lowerCost = asked <= nearChoices
            ? best.costMilliseconds - nearMarginMilliseconds
            : best.costMilliseconds * farCostShare;
        const isLast = asked === nearChoices || asked === choices.length;
        return isLast ? lowerCost : Math.min(lowerCost, goodCostMilliseconds);
    }

    function getBestQuote(): RouteQuote | undefined {
        let best: RouteQuote | undefined;
        for (const quote of quotes.values()) {
            best = best === undefined || quote.costMilliseconds < best.costMilliseconds ? quote : best;
        }
        return best;
    }

    /** Gets the first choice whose cost is within the margin of the lowest; a choice that gave none comes last. */
    function getCheapest(): RouteStep["sidecar"] | undefined {
        const best = getBestQuote();
        if (best === undefined) {
            return choices[0];
        }
        const bound = best.costMilliseconds + nearMarginMilliseconds;
        return choices.find(choice => (quotes.get(choice.instanceId)?.costMilliseconds ?? Infinity) <= bound);
    }
}
