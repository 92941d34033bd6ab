/*
 * The measured figures, by name.
 */
import { FittedLine } from "./FittedLine";

/** The figures that scripts have measured. */
export interface MeasuredFigures {
    /** Gets the value of a figure; undefined where it has not been measured. */
    getValue(name: string): number | undefined;
    /** Gets the path of the script that measured a figure; a sentence where none has. */
    getSource(name: string): string;
    /**
     * Fits a line to figures whose names differ in one count; undefined where points are missing.
     * @param pattern - The name, with `{N}` for the count.
     * @param counts - The counts that are fitted.
     * @param checkCount - The count whose figure is left out of the fit.
     * @param getCount - Gets the count that was reached where another was asked for.
     */
    fitLine(
        pattern: string,
        counts: readonly number[],
        checkCount: number,
        getCount?: (count: number) => number | undefined,
    ): FittedLine | undefined;
}
