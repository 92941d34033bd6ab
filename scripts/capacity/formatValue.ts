/*
 * Numbers as the page shows them.
 */

const significantDigits = 3;

/**
 * Formats a value with three digits; "not measured" where there is none.
 * @param value - The value.
 */
export function formatValue(value: number | undefined): string {
    if (value === undefined) {
        return "not measured";
    }
    return Number(value.toPrecision(significantDigits)).toLocaleString("en-GB", {
        maximumSignificantDigits: significantDigits,
    });
}
