/*
 * A straight line that is fitted to measured points.
 */

/** A line that is fitted by least squares, with a measured point that was left out of the fit to validate it. */
export interface FittedLine {
    /** The name of the figures, with `{N}` in place of the count. */
    name: string;
    /** The increase of the value for an increase of the count by 1. */
    slope: number;
    /** The value at a count of 0. */
    intercept: number;
    /** The counts of the points that the line is fitted to. */
    fittedCounts: readonly number[];
    /** The count of the validation point. */
    validationCount: number;
    /** The measured value at the validation point. */
    measuredValue: number;
    /** The value of the line at the validation point. */
    predictedValue: number;
    /** The unit of the values. */
    unit: string;
    /** The path of the script that measured the points. */
    source: string;
}
