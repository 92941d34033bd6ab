/*
 * The result of parsing a JSON text.
 */
import { ValueProblem } from "./ValueProblem";

/** The parsed value, or where the text is invalid. */
export type JsonParseOutcome =
    | { kind: "parsed"; value: unknown; }
    | { kind: "invalid"; problem: ValueProblem; };
