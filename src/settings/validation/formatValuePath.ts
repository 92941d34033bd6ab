/*
 * Writes the place of a value inside a JSON document.
 */

const unquotedNamePattern = /^[A-Za-z0-9_-]+$/;

/**
 * Formats a path as `control.members[0]`; a name with other characters is put in quotes.
 * @param segments - The names and indices from the outside in.
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
