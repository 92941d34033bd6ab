/*
 * Parses all numeric options of a command.
 */
import { parseNumberOption } from "./parseNumberOption";

/**
 * Parses numeric options.
 * @param textsByOption - The text of each option; undefined where the option is absent.
 * @returns The number of each option, or a message about the first invalid one.
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
