/*
 * Looks up measured figures by name, and fits lines to them.
 */
import { Figure } from "../measure/Figure";
import { FigureSet } from "../measure/FigureSet";
import { FittedLine } from "./FittedLine";
import { MeasuredFigures } from "./MeasuredFigures";

/**
 * Creates the lookup of measured figures. A figure that several sets contain is taken from the last one.
 * @param sets - The figures, one set for each run of a script.
 */
export function createMeasuredFigures(sets: readonly FigureSet[]): MeasuredFigures {
    const figuresByName = new Map<string, Figure & { source: string; }>();
    for (const { command, figures } of sets) {
        const source = command.split(" ").find(argument => argument.endsWith(".ts"))!;
        figures.forEach(figure => figuresByName.set(figure.name, { ...figure, source }));
    }
    return { getValue: name => figuresByName.get(name)?.value, getSource, fitLine };

    function getSource(name: string): string {
        return figuresByName.get(name)?.source ?? "not measured yet";
    }

    function fitLine(
        pattern: string,
        counts: readonly number[],
        validationCount: number,
        getCount: (count: number) => number | undefined = count => count,
    ): FittedLine | undefined {
        const points = counts.map(count => ({
            count: getCount(count),
            figure: figuresByName.get(pattern.replace("{N}", String(count))),
        }));
        const validationPoint = {
            count: getCount(validationCount),
            figure: figuresByName.get(pattern.replace("{N}", String(validationCount))),
        };
        if ([...points, validationPoint].some(({ count, figure }) => count === undefined || figure === undefined)) {
            return undefined;
        }
        const line = fitLeastSquares(points.map(({ count, figure }) => ({ count: count!, value: figure!.value })));
        return {
            ...line,
            name: pattern,
            fittedCounts: points.map(({ count }) => count!),
            validationCount: validationPoint.count!,
            measuredValue: validationPoint.figure!.value,
            predictedValue: line.intercept + line.slope * validationPoint.count!,
            unit: validationPoint.figure!.unit,
            source: validationPoint.figure!.source,
        };
    }
}

/** Fits a line to points by least squares. */
function fitLeastSquares(points: readonly { count: number; value: number; }[]): { slope: number; intercept: number; } {
    const meanCount = getMean(points.map(({ count }) => count));
    const meanValue = getMean(points.map(({ value }) => value));
    const covariance = getMean(points.map(({ count, value }) => (count - meanCount) * (value - meanValue)));
    const variance = getMean(points.map(({ count }) => (count - meanCount) ** 2));
    const slope = covariance / variance;
    return { slope, intercept: meanValue - slope * meanCount };
}

function getMean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
