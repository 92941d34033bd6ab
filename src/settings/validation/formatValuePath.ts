/*
 * Formats the path of a value in a JSON document.
 */

const unquotedNamePattern = /^[A-Za-z0-9_-]+$/;

/**
 * Formats a path such as `control.members[0]`. A name with characters other than letters, digits, `_` and `-` is
 * quoted.
 * @param segments - The property names and array indices, from the root.
 */
export function formatValuePath(segments: readonly (string | number)[]): string {
    return segments.reduce<string>((path, segment) => {
        if (typeof segment === "number") {
            return `${path}[${segment}]`;
        }
        const name = unquotedNamePattern.test(segment) ? segment : JSON.stringify(segment);
        return path === "" ? name : `${path}.${name}`;
    }, "");
}
