/*
 * Compares rollout targets.
 */
import { ModelRollout } from "./ModelRollout";

type Target = Pick<ModelRollout, "version" | "adapters" | "roles">;

/**
 * Returns whether two targets have the same version, adapters and roles, in any order.
 * @param first - A target.
 * @param second - The target to compare it with.
 */
export function isSameTarget(first: Target, second: Target): boolean {
    return getCanonicalText(first) === getCanonicalText(second);
}

/** Gets text for a target that doesn't depend on the order of adapters and roles. */
function getCanonicalText(target: Target): string {
    const roles = Object.entries(target.roles).sort(([first], [second]) => first < second ? -1 : 1);
    return JSON.stringify([target.version, [...target.adapters].sort(), roles]);
}
