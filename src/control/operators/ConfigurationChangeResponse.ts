/*
 * The response to a change of the configuration.
 */

/** The response to a change of the configuration, as JSON. */
export interface ConfigurationChangeResponse {
    /** The outcome of the change. */
    outcome: "accepted" | "conflict" | "invalid" | "pending";
    /** The configuration revision after the change, or the current one if nothing was changed. */
    revision: number;
    /** The problems of an invalid change, or the current values that conflict with it. */
    problems: readonly string[];
}
