/*
 * The platform's bounds in a soak, which are those of its smallest deployments.
 */

/** The bounds by their names in the settings file, in seconds (`_s`) or milliseconds (`_ms`). */
export const soakBounds = {
    grace_s: 8,
    config_apply_ms: 2_000,
    revoke_ms: 5_000,
    recovery_s: 12,
    catch_up_s: 4,
    stable_window_ms: 3_000,
    version_ms: 10_000,
    retry_budget_ratio: 0.2,
    retry_budget_slack: 56,
    budget_window_s: 10,
    lease_ms: 3_000,
};
