/*
 * Reads the numbers of a command at once.
 */
import { parseNumberOption } from "./parseNumberOption";

/**
 * Reads numbers.
 * @param textsByOption - The values by option, as `--name`.
 * @returns The numbers by option, or the first problem.
 */
export function parseNumberOptions(
    textsByOption: Readonly<Record<string, string | undefined>>,
): { kind: "numbers"; values: Readonly<Record<string, number | undefined>>; } | { kind: "invalid"; message: string; } {
    const values: Record<string, number | undefined> = {};
    for (const [name, text] of Object.entries(textsByOption)) {
        const outcome = parseNumberOption(name, text);
        if (outcome.kind === "invalid") {
            return outcome;
        }
        values[name] = outcome.value;
    }
    return { kind: "numbers", values };
}
