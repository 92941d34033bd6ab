/*
 * Objects for looking up names from external input.
 */

/**
 * Creates an object without a prototype, so that the lookup of a name such as `constructor` finds no inherited
 * property.
 * @param entries - The names and values of the object's properties.
 */
export function createNullPrototypeObject<T>(entries: Iterable<readonly [string, T]> = []): Record<string, T> {
    const object = Object.create(Object.getPrototypeOf(Object.prototype)) as Record<string, T>;
    for (const [name, value] of entries) {
        object[name] = value;
    }
    return object;
}
