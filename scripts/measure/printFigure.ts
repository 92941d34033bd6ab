/*
 * Prints the figures of a measurement script.
 */

const digits = 4;

/**
 * Prints a figure as one line of JSON, rounded to four significant digits.
 * @param name - The figure's name.
 * @param value - The measured value.
 * @param unit - The value's unit.
 */
export function printFigure(name: string, value: number, unit: string): void {
    console.log(JSON.stringify({ name, value: Number(value.toPrecision(digits)), unit }));
}
