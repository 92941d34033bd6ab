/*
 * Formats a problem as a line for operators.
 */
import { ValueProblem } from "./ValueProblem";

/**
 * Formats a problem as one line with the path, the found value and the expected value.
 * @param problem - The problem.
 */
export function formatValueProblem(problem: ValueProblem): string {
    const location = problem.path === "" ? "(whole)" : problem.path;
    const suggestion = problem.nearest === undefined ? "" : `; did you mean "${problem.nearest}"?`;
    return `${location}: found ${problem.found}, expected ${problem.expected}${suggestion}`;
}
