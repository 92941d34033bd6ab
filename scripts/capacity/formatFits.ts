/*
 * The tables that check fitted lines.
 */
import { FittedLine } from "./FittedLine";
import { formatTable } from "./formatTable";
import { formatValue } from "./formatValue";

const headings = ["Line", "Fitted at", "Left out", "Measured there", "Line gives", "Deviation"];

/**
 * Formats fitted lines with the point that checks each.
 * @param fits - The lines.
 */
export function formatFits(fits: readonly FittedLine[]): string {
    const rows = fits.map(fit => [
        `\`${fit.name}\``,
        fit.fittedCounts.map(count => formatValue(count)).join("; "),
        formatValue(fit.validationCount),
        `${formatValue(fit.measuredValue)} ${fit.unit}`,
        `${formatValue(fit.predictedValue)} ${fit.unit}`,
        `${formatValue((fit.predictedValue - fit.measuredValue) / fit.measuredValue * 100)}%`,
    ]);
    return `Points that were left out of a fit, against its line:\n\n${formatTable(headings, rows)}`;
}
