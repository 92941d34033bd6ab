/*
 * One measured figure.
 */

/** A figure in the form that measurement scripts print, one line of JSON each. */
export interface Figure {
    /** The figure's name. */
    name: string;
    /** The measured value. */
    value: number;
    /** The value's unit. */
    unit: string;
}
