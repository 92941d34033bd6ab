/*
 * A measured figure.
 */

/** One line of a measurement's output. */
export interface Figure {
    /** The figure's name. */
    name: string;
    /** The measured value. */
    value: number;
    /** The value's unit. */
    unit: string;
}
