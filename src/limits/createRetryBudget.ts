/*
 * A retry budget: each first attempt earns a share of a retry, up to a bound, so that retries can't multiply the load of
 * a system that is failing already.
 */
import { RetryBudget } from "./RetryBudget";

const defaultMaximumSavedRetries = 10;

/**
 * Creates a budget with its reserve full; without a share there is no reserve either.
 * @param retriesPerFirstAttempt - How many retries each first attempt earns.
 * @param maximumSavedRetries - How many earned retries are kept at most; a function where the bound changes.
 */
export function createRetryBudget(
    retriesPerFirstAttempt: number,
    maximumSavedRetries: number | (() => number) = defaultMaximumSavedRetries,
): RetryBudget {
    const getMaximumSavedRetries = typeof maximumSavedRetries === "number"
        ? () => maximumSavedRetries
        : maximumSavedRetries;
    let savedRetries = retriesPerFirstAttempt > 0 ? getMaximumSavedRetries() : 0;
    return { addFirstAttempt, tryTakeRetry };

    function addFirstAttempt(): void {
        savedRetries = Math.min(getMaximumSavedRetries(), savedRetries + retriesPerFirstAttempt);
    }

    function tryTakeRetry(): boolean {
        savedRetries = Math.min(getMaximumSavedRetries(), savedRetries);
        if (savedRetries < 1) {
            return false;
        }
        savedRetries -= 1;
        return true;
    }
}
