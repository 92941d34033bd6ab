/*
 * A straight line through measured points.
 */

/** A line by least squares, and how far it is from a point that it was not fitted to. */
export interface FittedLine {
    /** The name of the figures, with `{N}` for what varies. */
    name: string;
    /** What is added for each step of the count. */
    slope: number;
    /** The value at a count of 0. */
    intercept: number;
    /** The counts that were fitted. */
    fittedCounts: readonly number[];
    /** The count left out. */
    validationCount: number;
    /** What was measured there. */
    measuredValue: number;
    /** What the line gives there. */
    predictedValue: number;
    /** The figures' unit. */
    unit: string;
    /** The script that measured the points. */
    source: string;
}
