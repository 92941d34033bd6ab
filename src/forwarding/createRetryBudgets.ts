/*
 * Divides a retry budget among the entry processes: each earns the same share of its own requests, and gets an equal
 * part of the common reserve.
 */
import { createRetryBudget, RetryBudget } from "../limits";
import { RetryBudgets } from "./RetryBudgets";

/** The share of the budget that is used, so that the processes don't exceed it together while their number changes. */
const usedShare = 0.8;

/**
 * Creates the budgets of an entry process.
 * @param share - The number of retries that all entry processes together may send for each request.
 * @param reserve - The number of retries that they may send beyond that share.
 * @param getEntryCount - Gets the number of entry processes that share the reserve.
 */
export function createRetryBudgets(share: number, reserve: number, getEntryCount: () => number): RetryBudgets {
    const budgets = new Map<string, RetryBudget>();
    return {
        addFirstAttempt: service => getBudget(service).addFirstAttempt(),
        tryTakeRetry: service => getBudget(service).tryTakeRetry(),
        getSavedRetries: service => getBudget(service).getSavedRetries(),
        getFewestSavedRetries,
        giveBackRetry: service => getBudget(service).giveBackRetry(),
    };

    function getFewestSavedRetries(): number {
        return budgets.size === 0 ? 0 : Math.min(...[...budgets.values()].map(budget => budget.getSavedRetries()));
    }

    function getBudget(service: string): RetryBudget {
        const budget = budgets.get(service)
            ?? createRetryBudget(usedShare * share, () => usedShare * reserve / getEntryCount());
        budgets.set(service, budget);
        return budget;
    }
}
