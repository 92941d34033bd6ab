/*
 * Access to the measured figures by name.
 */
import { FittedLine } from "./FittedLine";

/** The figures that the scripts in scripts/measure have measured. */
export interface MeasuredFigures {
    /** Gets the value of a figure, or undefined if it has not been measured. */
    getValue(name: string): number | undefined;
    /** Gets the path of the script that measured a figure, or "not measured yet". */
    getSource(name: string): string;
    /**
     * Fits a line by least squares to figures whose names differ only in a count. Returns undefined if a figure is missing.
     * @param pattern - The name of the figures, with `{N}` in place of the count.
     * @param counts - The counts, as in the names, of the figures that the line is fitted to.
     * @param validationCount - The count of the figure that is left out of the fit, to validate the line.
     * @param getCount - Gets the count that a run achieved, for the count in the name, which is the one that was requested;
     * by default they are the same.
     */
    fitLine(
        pattern: string,
        counts: readonly number[],
        validationCount: number,
        getCount?: (count: number) => number | undefined,
    ): FittedLine | undefined;
}
