/*
 * One trial of a search for the highest load that a policy sustains.
 */

/** The result of a run at one load. */
export interface CapacityTrial {
    /** The offered load; 1 is the rate of prompt tokens that all engines together can prefill without any cache hit. */
    load: number;
    /** The share of completions whose first token arrived within 1.1 s; those without a first token count as late. */
    firstTokenShare: number;
    /** The share of times between tokens that are at most 39 ms. */
    gapShare: number;
    /** Whether the load is sustained: both shares are at least 0.95. */
    isBorne: boolean;
    /** Whether the event loop's lag was low enough for the figures to be valid. */
    isTrustworthy: boolean;
}
