/*
 * Tells whether a target is the one that a rollout follows already.
 */
import { ModelRollout } from "./ModelRollout";

type Target = Pick<ModelRollout, "version" | "adapters" | "roles">;

/**
 * Tells whether two targets ask for the same.
 * @param first - What is wanted.
 * @param second - What else is wanted.
 */
export function isSameTarget(first: Target, second: Target): boolean {
    return getCanonicalText(first) === getCanonicalText(second);
}

/** Writes a target as text that does not depend on the order of its parts. */
function getCanonicalText(target: Target): string {
    const roles = Object.entries(target.roles).sort(([first], [second]) => first < second ? -1 : 1);
    return JSON.stringify([target.version, [...target.adapters].sort(), roles]);
}
