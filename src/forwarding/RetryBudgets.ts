/*
 * The retries that an entry allows itself, by service.
 */

/** Keeps the retries to each service within this entry's part of the budget that all entries share. */
export interface RetryBudgets {
    /** Notes a request to a service. */
    addFirstAttempt(service: string): void;
    /** Takes a retry from a service's budget; tells whether there was one left. */
    tryTakeRetry(service: string): boolean;
}
