/*
 * How far all entry processes together may exceed the quotas of workspaces.
 */

/** The bound of each window: `(rate * window + burst) * (1 + overshoot) + slack`. */
export interface QuotaBounds {
    /** The length of a window, in milliseconds. */
    windowMilliseconds: number;
    /** The share by which a window may exceed the quota. */
    overshoot: number;
    /** The amount by which it may do so beyond that share, in the unit of the quota. */
    slack: number;
}
