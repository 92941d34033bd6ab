/*
 * Rotates a list.
 */

/**
 * Gets a rotated copy of a list.
 * @param items - The list.
 * @param steps - The number of items to move from the start to the end; may exceed the list's length.
 */
export function rotate<T>(items: readonly T[], steps: number): T[] {
    const start = items.length === 0 ? 0 : steps % items.length;
    return [...items.slice(start), ...items.slice(0, start)];
}
