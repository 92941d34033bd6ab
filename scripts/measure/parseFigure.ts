/*
 * Parses the output of measurement scripts.
 */
import { Figure } from "./Figure";

/**
 * Parses a line that a measurement script printed; returns undefined if the line isn't a figure.
 * @param line - The line.
 */
export function parseFigure(line: string): Figure | undefined {
    if (!line.startsWith("{")) {
        return undefined;
    }
    try {
        const { name, value, unit } = JSON.parse(line) as Partial<Figure>;
        return name !== undefined && Number.isFinite(value) ? { name, value: value!, unit: unit ?? "" } : undefined;
    }
    catch {
        return undefined;
    }
}
