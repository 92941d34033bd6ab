/*
 * Shows a value that is wrong, without giving a secret away.
 */

const maximumScalarCharacters = 80;
/** Names such as `token`, `apiKey`, `tokenDigest` and `keyDigests[0]`, at the end of a path. */
const secretNamePattern = /(?:digest|secret|password|credential|token|key)s?(?:\[\d+\])?$/i;

/**
 * Shows a value: a scalar as JSON, anything larger by its kind, a likely secret not at all.
 * @param value - The value found; undefined where there is none.
 * @param path - The path at which it was found.
 */
export function showFoundValue(value: unknown, path: string): string {
    if (value === undefined) {
        return "nothing";
    }
    if (Array.isArray(value)) {
        return `a list of ${value.length}`;
    }
    if (typeof value === "object" && value) {
        return "an object";
    }
    if (typeof value === "string" && secretNamePattern.test(path)) {
        return "a text (hidden)";
    }
    const text = JSON.stringify(value);
    return text.length <= maximumScalarCharacters ? text : `${text.slice(0, maximumScalarCharacters)}...`;
}
