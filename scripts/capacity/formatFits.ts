/*
 * Formats the tables that compare fitted lines with their validation points.
 */
import { FittedLine } from "./FittedLine";
import { formatTable } from "./formatTable";
import { formatValue } from "./formatValue";

const headings = ["Line", "Fitted at", "Validated at", "Measured", "Predicted", "Deviation"];

/**
 * Formats a table of fitted lines, each with its validation point and the deviation of the line from it.
 * @param fits - The fitted lines.
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
    return `Validation of the fitted lines with points that were left out of the fit:\n\n${
        formatTable(headings, rows)
    }`;
}
