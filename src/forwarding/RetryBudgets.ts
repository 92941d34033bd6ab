/*
 * The retry budgets of an entry process, one for each service.
 */

/** Keeps the retries to each service within this entry process's part of the budget that all of them share. */
export interface RetryBudgets {
    /** Records the first attempt of a request to a service. */
    addFirstAttempt(service: string): void;
    /** Takes a retry from a service's budget; returns whether there was one left. */
    tryTakeRetry(service: string): boolean;
    /** Gets the number of retries that are left for a service; fractions are not yet retries. */
    getSavedRetries(service: string): number;
    /** Gets the smallest of these numbers; 0 before the first request. */
    getFewestSavedRetries(): number;
    /** Gives a retry back to a service's budget that was taken and not sent. */
    giveBackRetry(service: string): void;
}
