/*
 * The numbers of a request's attempts.
 */

/** The numbers of attempts over all runs of a request. */
export interface AttemptCounts {
    /** The number of attempts that were sent, whether they ran or not. */
    sent: number;
    /** The number of attempts that ran, may have run or are in progress. */
    run: number;
}
