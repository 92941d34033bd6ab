/*
 * Turns a problem into the line that operators read.
 */
import { ValueProblem } from "./ValueProblem";

/** Formats a problem as one line: the path, what was found and what is expected. */
export function formatValueProblem(problem: ValueProblem): string {
    const location = problem.path === "" ? "(whole)" : problem.path;
    const suggestion = problem.nearest === undefined ? "" : `; did you mean "${problem.nearest}"?`;
    return `${location}: found ${problem.found}, expected ${problem.expected}${suggestion}`;
}
