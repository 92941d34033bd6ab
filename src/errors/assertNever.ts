/*
 * The default case of exhaustive switches.
 */
import { createInvariantError } from "./createInvariantError";

/**
 * Throws, since a value has a variant that its type excludes.
 * @param value - The unexpected variant.
 */
export function assertNever(value: never): never {
    throw createInvariantError("An unexpected variant appeared", { value: JSON.stringify(value) });
}
