/*
 * Parses a list of names from the command line.
 */

/**
 * Parses names that are separated by commas.
 * @param option - The option, as `--name`.
 * @param text - The value of the option.
 * @param allowedNames - The valid names.
 * @returns The names, or a message about the first invalid one.
 */
export function parseNameList<T extends string>(
    option: string,
    text: string,
    allowedNames: readonly T[],
): { kind: "names"; names: readonly T[]; } | { kind: "invalid"; message: string; } {
    const names = text.split(",").filter(name => name !== "");
    const unknownName = names.find(name => !allowedNames.includes(name as T));
    if (unknownName !== undefined) {
        return { kind: "invalid", message: `${option}: expected ${allowedNames.join(", ")}, found "${unknownName}"` };
    }
    return { kind: "names", names: names as T[] };
}
