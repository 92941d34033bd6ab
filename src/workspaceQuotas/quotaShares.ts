/*
 * How the tolerance of a quota is divided. The sum of what can occur in one window is at most 1: the overdraft is
 * granted only where no new term shares its window, and the tolerance allows for two terms in the time for which a credit is
 * valid.
 */

/** The shares of the tolerance. */
export const quotaShares = {
    /** What all entry processes together may use before it is granted. */
    debt: 0.5,
    /** What may be granted and unused beyond a full bucket. */
    credit: 0.3,
    /** What a new leader may hold or grant while it may not know all that its predecessor has granted. */
    newTerm: 0.1,
    /** By how much grants may exceed what is in the bucket. */
    overdraft: 0.1,
};
