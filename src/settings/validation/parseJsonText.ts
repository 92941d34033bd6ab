/*
 * Parses JSON, and reports the line and column of a syntax error. The text itself is not quoted.
 */
import { getErrorMessage } from "../../errors";
import { JsonParseOutcome } from "./JsonParseOutcome";

const positionPattern = /at position (\d+)/;
const byteOrderMark = "\uFEFF";

/**
 * Parses a JSON text.
 * @param text - The text; a byte order mark at its start is ignored.
 */
export function parseJsonText(text: string): JsonParseOutcome {
    const json = text.startsWith(byteOrderMark) ? text.slice(1) : text;
    try {
        return { kind: "parsed", value: JSON.parse(json) };
    }
    catch (error) {
        return { kind: "invalid", problem: { path: "", found: describeSyntaxError(json, error), expected: "JSON" } };
    }
}

function describeSyntaxError(json: string, error: unknown): string {
    if (json.trim() === "") {
        return "an empty text";
    }
    const position = positionPattern.exec(getErrorMessage(error))?.[1];
    if (position === undefined) {
        return "a text that is not JSON";
    }
    const linesBefore = json.slice(0, Number(position)).split("\n");
    const column = linesBefore.at(-1)!.length + 1;
    return `a fault in line ${linesBefore.length}, column ${column}`;
}
