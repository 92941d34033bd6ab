/*
 * The times on which the bound of the quotas rests.
 */

/** Durations in milliseconds. */
export const quotaTiming = {
    /**
     * How long after the last poll that was answered an entry process may use a credit or a debt limit. The platform refuses
     * requests that need a key 3.5 s after that poll, unless its settings say otherwise.
     */
    contact: 3_000,
    /** How long a leader counts the credit of an entry process that does not poll: longer than it is valid there. */
    accountLifetime: 4_000,
    /**
     * How long an amount can be refunded after its request was sent, and how long an attempt may take to reach its server.
     * Until then it counts as unused, so a longer time leaves less for others. With 250 ms, attempts that took up to 1 s
     * exceeded the bound where it has no tolerance.
     */
    settlement: 1_000,
    /** How long a credit is kept that no request uses. */
    unusedCredit: 2_000,
    /** How long an account is reported after its last request. */
    unusedAccount: 10_000,
};
