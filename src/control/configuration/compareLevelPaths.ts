/*
 * The order of levels in listings and stored data: a level comes directly before its descendants.
 */

/** Compares two level paths for sorting; the order does not depend on the locale. */
export function compareLevelPaths(first: string, second: string): number {
    const firstKey = getSortKey(first);
    const secondKey = getSortKey(second);
    if (firstKey === secondKey) {
        return 0;
    }
    return firstKey < secondKey ? -1 : 1;
}

/** Replaces the separator by a tab, which sorts before every character that a name may contain. */
function getSortKey(path: string): string {
    return path.replaceAll("/", "\t");
}
