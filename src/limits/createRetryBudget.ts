/*
 * A retry budget: each first attempt earns a share of a retry, up to a bound, so that retries can't multiply the load of
 * a system that is failing already.
 */
import { RetryBudget } from "./RetryBudget";

const defaultSavedRetries = 10;

/**
 * Creates a budget with its reserve full; without a share there is no reserve either.
 * @param share - How many retries each first attempt earns.
 * @param savedRetries - How many earned retries are kept at most; a function where the bound changes.
 */
export function createRetryBudget(
    share: number,
    savedRetries: number | (() => number) = defaultSavedRetries,
): RetryBudget {
    const getMost = typeof savedRetries === "number" ? () => savedRetries : savedRetries;
    let saved = share > 0 ? getMost() : 0;
    return { addFirstAttempt, tryTakeRetry };

    function addFirstAttempt(): void {
        saved = Math.min(getMost(), saved + share);
    }

    function tryTakeRetry(): boolean {
        saved = Math.min(getMost(), saved);
        if (saved < 1) {
            return false;
        }
        saved -= 1;
        return true;
    }
}
