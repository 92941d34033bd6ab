/*
 * Divides a budget of retries among the entries: each earns the same share of its own requests, and holds a part of the
 * common reserve.
 */
import { createRetryBudget, RetryBudget } from "../limits";
import { RetryBudgets } from "./RetryBudgets";

/** The part of what is allowed that entries use, so that entries that come and go don't exceed it together. */
const usedShare = 0.8;

/**
 * Creates the budgets.
 * @param share - How many retries all entries together may send for each request.
 * @param reserve - How many retries they may send beyond that.
 * @param getEntryCount - Gets how many entries share the reserve.
 */
export function createRetryBudgets(share: number, reserve: number, getEntryCount: () => number): RetryBudgets {
    const budgets = new Map<string, RetryBudget>();
    return {
        addFirstAttempt: service => getBudget(service).addFirstAttempt(),
        tryTakeRetry: service => getBudget(service).tryTakeRetry(),
    };

    function getBudget(service: string): RetryBudget {
        const budget = budgets.get(service)
            ?? createRetryBudget(usedShare * share, () => usedShare * reserve / getEntryCount());
        budgets.set(service, budget);
        return budget;
    }
}
