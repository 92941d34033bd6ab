/*
 * The content of a quota grant.
 */

/** An amount of a limit that a process may use. */
export interface QuotaGrantAmount {
    /** The amount: an addition for rates, the total for requests in flight. */
    granted: number;
    /** How long the grant is valid, in milliseconds. */
    validMilliseconds: number;
    /** The refill of the limit per second; 0 for requests in flight. */
    refillPerSecond: number;
}
