/*
 * Objects to look up names in that come from outside.
 */

/** Creates an object without any inherited property, so that a name such as `constructor` finds nothing in it. */
export function createNullPrototypeObject<T>(entries: Iterable<readonly [string, T]> = []): Record<string, T> {
    const object = Object.create(Object.getPrototypeOf(Object.prototype)) as Record<string, T>;
    for (const [name, value] of entries) {
        object[name] = value;
    }
    return object;
}
