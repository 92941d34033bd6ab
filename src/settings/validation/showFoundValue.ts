/*
 * Formats an invalid value for a message, without disclosing secrets.
 */

const maximumScalarCharacters = 80;
/** Matches paths that end with a name such as `token`, `apiKey`, `tokenDigest` or `keyDigests[0]`. */
const secretNamePattern = /(?:digest|secret|password|credential|token|key)s?(?:\[\d+\])?$/i;

/**
 * Formats a scalar as JSON, and arrays and objects by their kind. Text at a path that may contain a secret is hidden.
 * @param value - The found value; undefined where there is none.
 * @param path - The path of the value.
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
