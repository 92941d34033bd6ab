/*
 * The limit on a process's retries.
 */

/** Limits retries to a share of first attempts. */
export interface RetryBudget {
    /** Counts a first attempt, which adds a fraction of a retry to the budget. */
    addFirstAttempt(): void;
    /** Takes one retry from the budget; returns false where none is left. */
    tryTakeRetry(): boolean;
    /** Gets the number of retries that are left; fractions are not yet retries. */
    getSavedRetries(): number;
    /** Raises the number of retries that are left to a number, up to the maximum; has no effect where more are left. */
    raiseTo(savedRetries: number): void;
    /** Gives a retry back that was taken and not sent. */
    giveBackRetry(): void;
}
