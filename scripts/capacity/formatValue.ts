/*
 * Formats numbers for the capacity page.
 */

const significantDigits = 3;

/**
 * Formats a value with three significant digits, or as "not measured" if it is undefined.
 * @param value - The value, undefined if not measured.
 */
export function formatValue(value: number | undefined): string {
    if (value === undefined) {
        return "not measured";
    }
    return Number(value.toPrecision(significantDigits)).toLocaleString("en-GB", {
        maximumSignificantDigits: significantDigits,
    });
}
