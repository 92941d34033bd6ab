/*
 * A retry budget: each first attempt adds a fraction of a retry, up to a maximum, so that retries can't multiply the
 * load on a system that is already failing.
 */
import { RetryBudget } from "./RetryBudget";

const defaultMaximumSavedRetries = 10;

/**
 * Creates a budget.
 * @param retriesPerFirstAttempt - The number of retries that each first attempt adds, usually below 1.
 * @param maximumSavedRetries - The maximum number of saved retries; a function where the maximum changes.
 * @param initialRetries - The number of retries saved at first; the maximum by default, or none where first attempts add none.
 */
export function createRetryBudget(
    retriesPerFirstAttempt: number,
    maximumSavedRetries: number | (() => number) = defaultMaximumSavedRetries,
    initialRetries?: number,
): RetryBudget {
    const getMaximumSavedRetries = typeof maximumSavedRetries === "number"
        ? () => maximumSavedRetries
        : maximumSavedRetries;
    let savedRetries = initialRetries ?? (retriesPerFirstAttempt > 0 ? getMaximumSavedRetries() : 0);
    return { addFirstAttempt, tryTakeRetry, getSavedRetries, raiseTo, giveBackRetry };

    function addFirstAttempt(): void {
        savedRetries = Math.min(getMaximumSavedRetries(), savedRetries + retriesPerFirstAttempt);
    }

    function raiseTo(count: number): void {
        savedRetries = Math.min(getMaximumSavedRetries(), Math.max(savedRetries, count));
    }

    function giveBackRetry(): void {
        savedRetries = Math.min(getMaximumSavedRetries(), savedRetries + 1);
    }

    function getSavedRetries(): number {
        savedRetries = Math.min(getMaximumSavedRetries(), savedRetries);
        return savedRetries;
    }

    function tryTakeRetry(): boolean {
        if (getSavedRetries() < 1) {
            return false;
        }
        savedRetries -= 1;
        return true;
    }
}
