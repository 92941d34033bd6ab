/*
 * Parses a number from the command line.
 */
import { NumberOptionOutcome } from "./NumberOptionOutcome";

/**
 * Parses a number and checks it against a minimum.
 * @param name - The option, as `--name`.
 * @param text - The value of the option; undefined where the option is absent.
 * @param minimum - The smallest valid value.
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
