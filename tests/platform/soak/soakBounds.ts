/*
 * The platform's bounds and ports in a soak; the bounds are those of its smallest deployments.
 */

/** Bounds by the names of the settings file, in milliseconds or seconds as their names say. */
export const soakBounds = {
    grace_s: 8,
    config_apply_ms: 2_000,
    revoke_ms: 5_000,
    recovery_s: 12,
    stable_window_ms: 3_000,
    version_ms: 10_000,
    retry_budget_ratio: 0.2,
    retry_budget_slack: 56,
    lease_ms: 3_000,
};
