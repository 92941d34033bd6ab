/*
 * Reads a number from the command line.
 */
import { NumberOptionOutcome } from "./NumberOptionOutcome";

/**
 * Reads a number that is not below a bound.
 * @param name - The option, as `--name`.
 * @param text - Its value; undefined where it was not given.
 * @param minimum - The least value.
 */
export function parseNumberOption(name: string, text: string | undefined, minimum = 0): NumberOptionOutcome {
    if (text === undefined) {
        return { kind: "number", value: undefined };
    }
    const value = Number(text);
    if (text.trim() === "" || !Number.isFinite(value) || value < minimum) {
        return { kind: "invalid", message: `${name}: expected a number of at least ${minimum}, found "${text}"` };
    }
    return { kind: "number", value };
}
